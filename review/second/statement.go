package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/internal/standin"
)

// zone is the time zone of the ledgers.
const zone = "Review/Hour"

// books are two boxes with ledgers that tell each other what they have sealed.
type books struct {
	p      *play
	boxes  []*box
	way    *way // from n1 to n2
	ends   time.Time
	period string
}

// newBooks starts two boxes shortly before an hour of their time zone ends.
func newBooks(p *play) (*books, error) {
	s := &books{p: p, ends: time.Now().Add(75 * time.Second).Truncate(time.Minute)}
	if err := p.writeZone(s.ends); err != nil {
		return nil, err
	}
	var err error
	s.boxes, err = p.newBoxes(2, plan{before: 5 * time.Millisecond}, func(i int, addrs []string) string {
		if i == 0 {
			if s.way, err = newWay(p, addrs[1]); err == nil {
				addrs = []string{addrs[0], s.way.addr}
			}
		}
		return fmt.Sprintf("[ledger]\ndir = \"$DIR\"\nmode = \"strict\"\nperiod = \"hour\"\ntime_zone = %q\ngrace_s = 1\nexport_ms = 500\n%s", zone, peersTable(i, addrs, "every_ms = 500\n"))
	})
	if err != nil {
		return nil, err
	}
	if err := p.startAll(s.boxes); err != nil {
		return nil, err
	}
	p.note("the hour ends in %s", time.Until(s.ends).Round(time.Millisecond))
	for i := range s.boxes {
		if err := s.send(i, 5); err != nil {
			return nil, err
		}
	}
	if _, out := p.ctl(nil, "--json", "ledger", "statement", "--operator", s.boxes[0].Operator()); out != "" {
		s.period = gjson.Get(out, "period.name").String()
	}
	if s.period == "" {
		return nil, void("n1 has no period")
	}
	return s, nil
}

// writeZone makes a time zone of which an hour ends at a time, a whole minute, and has all programs find it.
func (p *play) writeZone(ends time.Time) error {
	dir := filepath.Join(p.home, "zones")
	if err := os.MkdirAll(filepath.Join(dir, filepath.Dir(zone)), 0o700); err != nil {
		return err
	}
	var b bytes.Buffer
	b.WriteString("TZif")
	b.Write(make([]byte, 16))
	for _, count := range []uint32{0, 0, 0, 0, 1, 4} { // one kind of local time, whose name takes four bytes
		binary.Write(&b, binary.BigEndian, count)
	}
	binary.Write(&b, binary.BigEndian, int32((3600-ends.Unix()%3600)%3600)) // ahead of UTC, in seconds
	b.Write([]byte{0, 0})
	b.WriteString("RVW\x00")
	if err := os.WriteFile(filepath.Join(dir, zone), b.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Setenv("ZONEINFO", dir)
}

// send sends requests to a box, which have to be served.
func (s *books) send(i, count int) error {
	stream := standin.NewStream("use", uint64(time.Now().UnixNano()))
	for range count {
		r := stream.Next()
		r.Class, r.Token = standin.Classes[0], ""
		if end := s.p.try(s.boxes[i], r); end != "served" {
			return void("a request was %s", end)
		}
	}
	return nil
}

// ask asks n1 for the statement of the period over both boxes.
func (s *books) ask() (complete bool, requests int64, why string) {
	code, out := s.p.ctl(nil, "--json", "ledger", "fleet", s.period, "--operator", s.boxes[0].Operator())
	j := gjson.Parse(out)
	return code == 0 && j.Get("complete").Bool(), j.Get("total.used.0").Int(), j.Get("why").String()
}

// closed waits until both boxes say that they have closed the period.
func (s *books) closed() error {
	time.Sleep(time.Until(s.ends))
	return until("both boxes have closed the hour", 10*time.Second, func() bool {
		return !slices.ContainsFunc(s.boxes, func(b *box) bool {
			_, out := s.p.ctl(nil, "--json", "ledger", "statement", s.period, "--operator", b.Operator())
			return gjson.Get(out, "state").String() != "closed"
		})
	})
}

// playStatement has the second answer of each connection from n1 to n2 not come, while the hour ends.
func playStatement(p *play) ([]string, error) {
	s, err := newBooks(p)
	if err != nil {
		return nil, err
	}
	err = until("n1 has heard of n2", 10*time.Second, func() bool {
		_, requests, _ := s.ask()
		return requests == 10
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(s.ends) - 5*time.Second)
	if p.trouble {
		s.way.stalls.Store(true)
		p.note("from here on only the first answer of a connection from n1 to n2 comes")
	}
	if err := s.send(1, 7); err != nil {
		return nil, err
	}
	if err := s.closed(); err != nil {
		return nil, err
	}
	const used = 17
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		complete, requests, _ := s.ask()
		switch {
		case complete && requests != used:
			return []string{fmt.Sprintf("the statement of %s is complete with %d requests; %d were served in it", s.period, requests, used)}, nil
		case complete:
			return nil, nil
		}
	}
	if !p.trouble {
		return nil, void("the statement does not become complete")
	}
	return nil, nil
}

// playClosed kills n2 after the hour was closed and the statement of it was complete, and starts it again.
func playClosed(p *play) ([]string, error) {
	s, err := newBooks(p)
	if err != nil {
		return nil, err
	}
	if err := s.closed(); err != nil {
		return nil, err
	}
	err = until("the statement is complete", 15*time.Second, func() bool {
		complete, requests, _ := s.ask()
		return complete && requests == 10
	})
	if err != nil {
		return nil, err
	}
	if p.trouble {
		s.boxes[1].kill()
		p.note("n2 killed")
		if err := s.boxes[1].start(); err != nil {
			return nil, err
		}
		p.note("n2 started")
	}
	time.Sleep(8 * time.Second)
	if complete, requests, why := s.ask(); !complete || requests != 10 {
		return []string{fmt.Sprintf("the statement of %s was complete; now it is complete: %v, with %d requests: %s", s.period, complete, requests, strings.TrimSpace(why))}, nil
	}
	return nil, nil
}

// way is a proxy in front of a box's address for the others.
type way struct {
	addr   string
	stalls atomic.Bool // of each new connection only what is asked first comes through, and its answer
}

func newWay(p *play, to string) (*way, error) {
	w := &way{}
	var err error
	w.addr, err = serveAt(p, func(c net.Conn) {
		defer c.Close()
		out, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			return
		}
		defer out.Close()
		go func() {
			defer c.Close()
			io.Copy(c, out)
		}()
		stalls := w.stalls.Load()
		b := make([]byte, 64<<10)
		for n := 0; ; n++ {
			size, err := c.Read(b)
			if err != nil {
				return
			}
			if stalls && n > 0 {
				p.note("way from n1 to n2: not passed on: %q", strings.SplitN(string(b[:size]), "\r\n", 2)[0])
				continue
			}
			if _, err := out.Write(b[:size]); err != nil {
				return
			}
		}
	})
	return w, err
}
