package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"larchscale/internal/standin"
)

// deadline is the one of bookings in the brief.
const deadline = 12 * time.Second

// warm is the name of writes that come first, and run for a moment.
const warm = "warm"

// box is one real box with its worker pool.
type box struct {
	*standin.Box
	pool *pool
	peer string // where the other boxes reach it
	mu   sync.Mutex
	dead bool
}

// program writes the program that starts a box with the command of the deploy file, and returns its path.
func (p *play) program() (string, error) {
	path := filepath.Join(p.home, "run")
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	command := ""
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ = strings.Cut(rest, `"`)
		}
	}
	if command == "" {
		return "", void("no command run in the deploy file")
	}
	script := fmt.Sprintf("#!/bin/sh\n# --config FILE --operator FILE\nexport BALANCER_CONFIG=\"$2\" LARCHSCALE_OPERATOR=\"$4\"\ncd '%s' || exit 2\n%s\n", p.root, command)
	return path, os.WriteFile(path, []byte(script), 0o700)
}

// newBoxes writes the files of boxes n1, n2 and so on. operator gives the text of a box's operator's file.
func (p *play) newBoxes(count int, how plan, operator func(i int, peers []string) string) ([]*box, error) {
	program, err := p.program()
	if err != nil {
		return nil, err
	}
	peers := make([]string, count)
	for i := range peers {
		if peers[i], err = standin.FreeAddr(); err != nil {
			return nil, err
		}
	}
	lookup, err := newDirectory(p)
	if err != nil {
		return nil, err
	}
	var boxes []*box
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		b := &box{peer: peers[i], dead: true}
		if b.pool, err = newPool(p, name, how); err != nil {
			return nil, err
		}
		index, err := newIndex(p, name)
		if err != nil {
			return nil, err
		}
		size := standin.Size{Tenants: standin.Stands, Classes: standin.Classes, Sockets: 512, MemoryMB: 96, GiveUp: deadline,
			Stop: 3200 * time.Millisecond, Grace: 2500 * time.Millisecond}
		b.Box, err = standin.NewBoxOfSize(program, filepath.Join(p.home, name), name,
			&standin.Site{Pool: b.pool.addr(), Index: index, Lookup: lookup}, operator(i, peers), size)
		if err != nil {
			return nil, err
		}
		boxes = append(boxes, b)
		p.atEnd(func() { b.kill() })
	}
	return boxes, nil
}

// startAll starts all boxes.
func (p *play) startAll(boxes []*box) error {
	for _, b := range boxes {
		if err := b.start(); err != nil {
			return void("%v", err)
		}
		p.note("%s started", b.Name)
	}
	return nil
}

func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.Box.Start()
	b.dead = err != nil
	return err
}

// kill ends the process of a box at once.
func (b *box) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dead {
		b.dead = true
		b.Box.Kill()
	}
}

// peersTable is the operator's table of the other boxes.
func peersTable(i int, addrs []string, more string) string {
	var others []string
	for j, a := range addrs {
		if j != i {
			others = append(others, fmt.Sprintf("%q", fmt.Sprintf("n%d=%s", j+1, a)))
		}
	}
	return fmt.Sprintf("[ledger.peers]\nlisten = %q\nboxes = [%s]\n%s", addrs[i], strings.Join(others, ", "), more)
}

// fleetTables are the operator's tables of a box of a fleet, in a zone of its own.
func (p *play) fleetTables(more string) func(i int, addrs []string) string {
	return func(i int, addrs []string) string {
		return peersTable(i, addrs, "") + fmt.Sprintf("[fleet]\ndir = %q\nzone = %q\nvoters = 3\n%s",
			p.fleetDir(fmt.Sprintf("n%d", i+1)), string(rune('a'+i)), more)
	}
}

// fleetDir is where the fleet keeps what it has at a box.
func (p *play) fleetDir(box string) string { return filepath.Join(p.home, box, "fleet") }

// found begins the fleet.
func (p *play) found(b *box) error {
	return until("the fleet is founded", 20*time.Second, func() bool {
		code, _ := p.ctl(nil, "fleet", "found", "--operator", b.Operator())
		return code == 0
	})
}

// whole waits until every box holds a lease and every shard has its homes.
func (p *play) whole(boxes []*box) error {
	return until("the fleet is whole", 40*time.Second, func() bool {
		for _, b := range boxes {
			f := standin.Stats(b.Admin)
			if f["fleet.lives"] != float64(len(boxes)) || f["fleet.lease_ms"] == 0 || f["fleet.homes"] == 0 || f["fleet.bare"] != 0 || f["keys.shut"] != 0 {
				return false
			}
		}
		return true
	})
}

// write is one keyed write and what its caller saw.
type write struct {
	standin.Request
	end string // of its last try
}

// newWrites makes keyed writes.
func newWrites(name string, count int) []*write {
	s := standin.NewStream(name, uint64(time.Now().UnixNano()))
	var out []*write
	for i := range count {
		r := s.Next()
		r.Class, r.Token, r.Body = standin.Classes[1], fmt.Sprintf("%s-%d-%s", name, i, r.Handle), fmt.Sprintf("booking %s %d", name, i)
		out = append(out, &write{Request: r})
	}
	return out
}

// follow sends a write to the boxes, one after the other, until it is served or its time is over.
func (p *play) follow(w *write, boxes []*box) {
	due := time.Now().Add(deadline)
	handles := standin.NewStream("handles "+w.Token, uint64(time.Now().UnixNano()))
	for n := 0; ; n++ {
		b := boxes[0]
		if others := boxes[1:]; n > 0 && len(others) > 0 {
			b = others[(n-1)%len(others)]
		}
		r := w.Request
		r.Handle, r.Budget = handles.Next().Handle, time.Until(due)
		w.end = p.try(b, r)
		if w.end == "served" || time.Until(due) < 300*time.Millisecond {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// try sends a request to a box once, on a connection of its own.
func (p *play) try(b *box, r standin.Request) string {
	p.note("to %s: %s %q, token %q, rid %s, %d ms", b.Name, r.Class, r.Body, r.Token, r.Handle, r.Budget.Milliseconds())
	end := "not sent"
	if line, err := standin.DialLine(b.Listen); err == nil {
		timer := time.AfterFunc(r.Budget+time.Second, line.Close)
		end = line.Do(r).End
		timer.Stop()
		line.Close()
	}
	p.note("from %s: %q, rid %s: %s", b.Name, r.Body, r.Handle, end)
	return end
}
