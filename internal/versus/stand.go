package versus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"larchscale/internal/fleet/raftlog"
	"larchscale/internal/standin"
	"larchscale/internal/wal"
)

// Unruly gives the requests that nobody heard of and that the rules do not allow: a caller may go unheard only at a box
// while its process is killed or stopped.
func (p *Played) Unruly() (out []standin.Lost) {
	downs := map[string][]standin.Span{}
	for _, m := range p.Members {
		downs[m.Listen] = m.Downs()
	}
	for _, x := range p.Calls.Lost() {
		if !slices.ContainsFunc(downs[x.Addr], func(d standin.Span) bool {
			return !x.Ended.Before(d.From) && (d.To.IsZero() || !x.Began.After(d.To))
		}) {
			out = append(out, x)
		}
	}
	return out
}

// Stand tells whether a box has its part in the fleet, and why not: the one line in which it said so. A box without a
// part that did not say so, said it twice, or does not serve is an error.
func Stand(m *standin.Member) (why string, err error) {
	if err := Serves(m); err != nil {
		return "", err
	}
	_, err = m.State()
	if err == nil {
		return "", nil
	}
	var said []string
	for line := range strings.SplitSeq(m.Log(), "\n") {
		if strings.Contains(line, "do=open") || strings.Contains(line, "do=keep") {
			said = append(said, line)
		}
	}
	if len(said) != 1 {
		return "", fmt.Errorf("%s has no part in the fleet (%w), and says so in %d lines: %q", m.Name, err, len(said), said)
	}
	return said[0], nil
}

// Serves has a box serve one request.
func Serves(m *standin.Member) error {
	l, err := standin.DialLine(m.Listen)
	if err != nil {
		return err
	}
	defer l.Close()
	handle := fmt.Sprintf("%016x", rand.Uint64())
	if seen := l.Do(standin.Request{Handle: handle, Stand: standin.Stands[0], Class: standin.Classes[0], Body: handle, Budget: standin.Aim}); seen.End != "served" {
		return fmt.Errorf("%s: a request is %s", m.Name, seen.End)
	}
	return nil
}

// Where the header of a segment of package wal has its format, and its checksum of all before it.
const (
	formatAt = 8
	sumAt    = 36
)

// Later makes the fleet's log of a box that is down one of a program to come: each segment is whole, of a format that
// no program knows yet.
func Later(m *standin.Member) error {
	list, err := filepath.Glob(filepath.Join(m.FleetDir(), "*"))
	n := 0
	for _, name := range list {
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if len(b) < sumAt+4 || string(b[:4]) != "LWAL" {
			continue
		}
		n++
		binary.LittleEndian.PutUint16(b[formatAt:], 9)
		binary.LittleEndian.PutUint32(b[sumAt:], crc32.Checksum(b[:sumAt], crc32.MakeTable(crc32.Castagnoli)))
		if err := os.WriteFile(name, b, 0o600); err != nil {
			return err
		}
	}
	if n == 0 && err == nil {
		err = errors.New(m.Name + " has no segment")
	}
	return err
}

// Snapshot tells up to which entry a snapshot stands in the fleet's log of a box that is down; 0 = there is none.
func Snapshot(m *standin.Member) (index uint64, err error) {
	l, err := raftlog.Open(wal.Dir(m.FleetDir()), m.Name, func() uint64 { return 1 }, 1<<30)
	if err != nil {
		return 0, err
	}
	s, err := l.Snapshot()
	return s.GetMetadata().GetIndex(), errors.Join(err, l.Close())
}
