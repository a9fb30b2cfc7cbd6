package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/standin"
	"larchscale/internal/wal"
)

// call runs larchctl and gives its exit code and what it printed.
func call(args ...string) (int, string) {
	var out, errs bytes.Buffer
	code := run(args, &out, &errs)
	return code, out.String() + errs.String()
}

// wall is a clock that says noon when the tests begin: no period ends in one.
func wall() time.Time { return time.Date(2026, 11, 15, 12, 0, 0, 0, time.UTC).Add(time.Since(began)) }

var began = time.Now()

const period = "2026-11-15"

// box writes an operator's file and the ledger of a box that served a little, and keeps the box open.
func box(t *testing.T, name string) (operator string, k *ledgerstore.Store) {
	t.Helper()
	home := t.TempDir()
	operator = filepath.Join(home, "operator.toml")
	if err := os.WriteFile(operator, []byte("[ledger]\ndir = \""+filepath.Join(home, "ledger")+"\"\nperiod = \"day\"\nexport_ms = 10\nwrite_ms = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	opt := ledgerstore.Defaults()
	opt.Dir, opt.Period, opt.ExportMs, opt.WriteMs = filepath.Join(home, "ledger"), "day", 10, 5
	dir := wal.Dir(opt.Dir)
	if err := dir.Make(); err != nil {
		t.Fatal(err)
	}
	k, err := ledgerstore.Open(dir, opt, ledgerstore.Config{Server: name, Stands: []string{"north", "south"}, Classes: []string{"quote"}, Wall: wall}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go k.Run()
	for i := range 30 {
		k.Record(core.Usage{Tenant: i % 3 / 2, Figures: ledger.Figures{1, 1_000_000, 100, 7, 0, 10, 20}})
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s, err := k.Totals(t.Context()); err == nil && s.Sealed[ledger.Requests] == 30 {
			break
		}
	}
	t.Cleanup(func() { k.Close(t.Context()) })
	return operator, k
}

// The commands' whole life beside a box that runs: status, correction, files, reconciling, division.
func TestLedgerCommands(t *testing.T) {
	n1, _ := box(t, "n1")
	n2, _ := box(t, "n2")
	out := t.TempDir()
	tariff := filepath.Join(out, "tariff.toml")
	if err := os.WriteFile(tariff, []byte("by = \"run_us\"\nover_per_mille = 2000\n[shares]\nnorth = 500000\nsouth = 500000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"ledger", "status", "--operator", n1}, 0, []string{"box n1", "incarnation 1", "booked 30"}},
		{[]string{"ledger", "statement", "--operator", n1}, 0, []string{"period " + period, "north quote served 20 20000000 2000", "all used 30"}},
		{[]string{"--json", "ledger", "statement", "--operator", n1, period}, 0, []string{`"complete": true`}},
		{[]string{"ledger", "statement", "--operator", n1, "2020-01-01"}, 1, []string{"unknown period"}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "a", "--reason", "meter", "--period", period, "--stand", "north", "--add", "run_us=-100;requests=-1"}, 0, []string{"booked"}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "a", "--reason", "meter", "--period", period, "--stand", "north", "--add", "run_us=-100;requests=-1"}, 0, []string{"booked"}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "a", "--reason", "meter", "--period", period, "--stand", "north", "--add", "run_us=5"}, 1, []string{"other content"}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "b", "--reason", "x", "--period", period, "--stand", "west", "--add", "run_us=5"}, 1, []string{`unknown stand "west"`}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "b", "--reason", "x", "--period", period, "--stand", "north", "--add", "tea=5"}, 2, []string{`"tea" is none of`}},
		{[]string{"ledger", "correct", "--operator", n1, "--id", "b", "--reason", "x", "--period", "2020-01", "--stand", "north", "--add", "run_us=1"}, 1, []string{"unknown period"}},
		{[]string{"ledger", "verify", "--operator", n1}, 0, []string{"good: 30 requests booked"}},
		{[]string{"ledger", "export", "--operator", n1, "--to", out}, 0, []string{"batches in"}},
		{[]string{"ledger", "export", "--operator", n1, "--to", out, "--take"}, 0, []string{"batches in"}},
		{[]string{"ledger", "export", "--operator", n2, "--to", out}, 0, []string{"batches in"}},
		{[]string{"ledger", "reconcile", out}, 0, []string{"n1", "n2", "period " + period}},
		{[]string{"ledger", "reconcile", out, "--period", period, "--gone", "n1,n2"}, 0, []string{"all used 60", "all net 59"}},
		{[]string{"ledger", "reconcile", out, "--period", period, "--gone", "n1,n2", "--paise", "100001", "--tariff", tariff}, 0,
			[]string{"north", "2950 950", "south", "2000 0", "708.04", "291.97"}},
		{[]string{"ledger", "reconcile", out, "--period", period}, 3, []string{"INCOMPLETE", "n1 has not closed the period"}},
		{[]string{"ledger", "reconcile", out, "--period", period, "--gone", "n1,n2", "--boxes", "n3"}, 3, []string{"nothing of n3 is there"}},
		{[]string{"ledger", "reconcile", out, "--paise", "5"}, 2, []string{"--paise needs --period"}},
		{[]string{"ledger", "reconcile", tariff}, 1, []string{"tariff.toml: not a record of this ledger"}},
		{[]string{"ledger", "reconcile", out, "--period", "x"}, 1, []string{`unknown period "x"`}},
		{[]string{"ledger", "status"}, 2, []string{"missing flags: --operator"}},
		{[]string{"ledger", "status", "--operator", tariff}, 2, []string{"unknown key"}},
		{[]string{"ledger", "fleet", "--operator", n1, period}, 2, []string{"ledger.peers.listen is not set"}},
		{[]string{"config", "check", n1}, 0, []string{"good"}},
		{[]string{"config", "check", tariff}, 2, []string{"unknown key"}},
		{[]string{"tea"}, 2, []string{"unexpected argument tea"}},
		{[]string{"--version"}, 0, []string{"larchctl "}},
	} {
		code, text := call(x.args...)
		if code != x.code {
			t.Errorf("%v: exit %d, want %d: %s", x.args, code, x.code, text)
		}
		for _, w := range x.want {
			if !strings.Contains(strings.Join(strings.Fields(text), " "), w) {
				t.Errorf("%v: no %q in:\n%s", x.args, w, text)
			}
		}
		if code == 1 || code == 2 {
			if strings.Count(text, "\n") != 1 {
				t.Errorf("%v: more than a line: %s", x.args, text)
			}
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) { // what was taken as files is acknowledged
		if _, text := call("ledger", "status", "--operator", n1); strings.Contains(text, ", 0 bytes wait") {
			break
		} else if time.Now().After(end) {
			t.Fatalf("batches that were taken still wait: %s", text)
		}
	}
}

// A statement with something missing ends with exit code 3 and says what.
func TestIncompleteStatement(t *testing.T) {
	operator, k := box(t, "n1")
	dir := wal.Dir(filepath.Join(filepath.Dir(operator), "ledger"))
	if err := k.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	opt := ledgerstore.Defaults()
	opt.Dir, opt.Period = string(dir), "day"
	for range 2 { // the first is left without an end
		if _, err := ledgerstore.Open(dir, opt, ledgerstore.Config{Server: "n1", Stands: []string{"north"}, Classes: []string{"quote"}, Wall: wall}, slog.New(slog.DiscardHandler)); err != nil {
			t.Fatal(err)
		}
	}
	if code, text := call("ledger", "statement", "--operator", operator); code != exitNotWhole || !strings.Contains(text, "incarnation 2 ended without notice: up to 4096 entries may be missing") {
		t.Errorf("exit %d: %s", code, text)
	}
}

// The trial on one machine runs the real program and ends with a ledger that says what the callers saw.
func TestDev(t *testing.T) {
	program, err := standin.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if code, text := call("dev", "--program", program, "--requests", "640"); code != 0 || !strings.Contains(text, "the ledger says just what the callers saw") {
		t.Errorf("exit %d: %s", code, text)
	}
	for _, bad := range [][]string{{"--requests", "0"}, {"--faults", "1"}, {"--lines", "0"}} {
		if code, text := call(append([]string{"dev", "--program", program}, bad...)...); code != exitBad {
			t.Errorf("%v: exit %d: %s", bad, code, text)
		}
	}
	if code, _ := call("dev", "--program", program+"x"); code != exitFailed {
		t.Errorf("no program: exit %d", code)
	}
}
