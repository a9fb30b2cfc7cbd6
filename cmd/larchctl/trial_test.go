package main

import (
	"strings"
	"testing"
	"time"

	"larchscale/internal/standin"
)

// The commands of trials at a box that runs: what cannot be is told in one line, and a stop is the one outcome.
func TestTrialCommands(t *testing.T) {
	program, err := standin.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	below, err := standin.NewBelow(0)
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	f, err := standin.NewFleet(program, t.TempDir(), standin.FleetOptions{Boxes: 3, Zones: 3, Voters: 3, SilentMs: 1500, TakeOver: true, TrialCalls: []string{below.Addr}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	box := f.Members[0]
	fleet := func(args ...string) (int, string) {
		return call(append(append([]string{"fleet", "trial"}, args...), "--operator", box.Operator())...)
	}
	start := []string{"start", "t1", "--class", "fare-quote", "--b", below.Addr, "--by", "ops", "--reason", "which"}
	if err := standin.Until("a trial begins", 10*time.Second, func() bool { code, _ := fleet(start...); return code == 0 }); err != nil {
		t.Fatal(err, box.Log())
	}
	for _, x := range []struct {
		args []string
		code int
		has  string
	}{
		{start, 0, "splits calls of fare-quote"}, // given again
		{append(start, "--effect", "0.1"), 1, "there is another of that name"},
		{[]string{"start", "t2", "--class", "no-such", "--b", below.Addr, "--by", "ops", "--reason", "x"}, 1, `calls "no-such": unknown`},
		{[]string{"start", "t2", "--class", "book-ride", "--b", "127.0.0.1:9", "--by", "ops", "--reason", "x"}, 1, `address "127.0.0.1:9" of arm B: unknown`},
		{[]string{"status"}, 0, "go on"},
		{[]string{"stop", "t1", "--by", "ops", "--reason", "enough"}, 0, "t1 is stopped"},
		{[]string{"stop", "t1", "--by", "ops", "--reason", "again"}, 1, "ended with stopped"},
		{[]string{"status"}, 0, "t1, by ops: enough"},
	} {
		if code, text := fleet(x.args...); code != x.code || !strings.Contains(text, x.has) {
			t.Errorf("%v: exit %d: %s", x.args, code, text)
		}
	}
}
