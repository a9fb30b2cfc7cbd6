package standin_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/link"
	"larchscale/internal/standin"
)

// member is one real process of a fleet, with callers of its own.
type member struct {
	*standin.Box
	zone, addr string
	calls      *standin.Churn
}

// dial gives a client for the member, which is without certificates.
func (m *member) dial() *link.Client {
	l, _ := link.New(link.Options{}, slog.New(slog.DiscardHandler)) // nothing to load: no error
	return l.Dial(m.Name, m.addr)
}

func (m *member) state() (driver.Status, bool) {
	c := m.dial()
	defer c.Close()
	s, err := driver.State(context.Background(), c)
	return s, err == nil
}

func (m *member) command(t *testing.T, w driver.Word) {
	t.Helper()
	c := m.dial()
	defer c.Close()
	if err := driver.Say(t.Context(), c, w); err != nil {
		t.Fatal(err)
	}
}

// Five real processes in three zones, with requests flowing, are taken out for work by a plan: one at a time, each
// once, and while it is out its health says no and nothing that it had read was lost. The leader is killed while the
// first is out; it comes back with its disk, and the plan ends.
func TestAFleetOfProgramsTakesItselfOut(t *testing.T) {
	var all []*member
	text := ""
	for i := range 5 {
		addr, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, &member{zone: string(rune('a' + i%3)), addr: addr})
		text += fmt.Sprintf("%q, ", fmt.Sprintf("n%d=%s", i+1, addr))
	}
	for i, m := range all {
		site, err := standin.NewSite(time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer site.Close()
		home := t.TempDir()
		m.Box, err = standin.NewBox(program, home, fmt.Sprintf("n%d", i+1), site, fmt.Sprintf("[ledger.peers]\nlisten = %q\nboxes = [%s]\n"+
			"[fleet]\ndir = %q\nzone = %q\nvoters = 3\ndrain_ms = 400\n", m.addr, text, filepath.Join(home, "fleet"), m.zone))
		if err == nil {
			err = m.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		defer m.Kill()
		m.calls = standin.NewChurn(m.Listen, 1)
		defer func() { m.calls.Stop() }()
	}
	all[0].command(t, driver.Word{Found: true})
	until := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(60 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				s, _ := all[1].state()
				t.Fatalf("not %s: %+v\n%s", what, s, all[0].Log())
			}
		}
	}
	until("a fleet of five that are in", func() bool {
		s, ok := all[4].state()
		return ok && len(s.Members) == 5 && len(s.Boxes) == 5 && !slices.ContainsFunc(s.Boxes, func(b takeout.Box) bool { return b.Phase != takeout.In || b.Incarnation == 0 })
	})
	plan := takeout.Plan{ID: "disks", By: "staff", Reason: "new disks", Boxes: []string{"n1", "n2", "n3", "n4", "n5"}, Most: 1}
	all[3].command(t, driver.Word{Entry: takeout.Entry{Kind: takeout.Propose, Plan: plan}})
	worked := map[string]int{}
	lost, sent := int64(0), int64(0)
	until("done", func() bool {
		out := 0
		for _, m := range all {
			s, ok := m.state()
			if !ok {
				continue
			}
			i := slices.IndexFunc(s.Boxes, func(b takeout.Box) bool { return b.Name == m.Name })
			if i < 0 || s.Boxes[i].Phase != takeout.Out || s.Boxes[i].Incarnation != s.Incarnation {
				if slices.ContainsFunc(s.Plans, func(p takeout.Plan) bool { return p.State == takeout.Done }) {
					return true
				}
				continue
			}
			if out++; out > 1 {
				t.Fatal("two are out at once")
			}
			if res, err := http.Get("http://" + m.Admin + "/healthcheck"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("%s is out, and its health says %v, %v", m.Name, res, err)
			}
			tally := m.calls.Stop()
			lost, sent = lost+tally.Unheard, sent+tally.Sent
			if worked[m.Name]++; len(worked) == 1 {
				for _, l := range all {
					if l.Name == s.Leader && l != m {
						l.Kill()
						l.calls.Stop() // its callers hear of it
						if err := l.Start(); err != nil {
							t.Fatal(err)
						}
						l.calls = standin.NewChurn(l.Listen, 0)
					}
				}
			}
			if code, err := m.Stop(); code != 0 {
				t.Fatalf("%s: %d, %v", m.Name, code, err)
			}
			if err := m.Start(); err != nil { // the work is done
				t.Fatal(err)
			}
		}
		return false
	})
	for _, m := range all {
		if worked[m.Name] != 1 {
			t.Errorf("%s was out %d times", m.Name, worked[m.Name])
		}
	}
	if lost > 0 || sent < 100 {
		t.Errorf("%d of %d requests unheard", lost, sent)
	}
}
