package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchscale/internal/ledgerstore"
	"larchscale/internal/scenario"
	"larchscale/internal/wal"
)

// A configuration that cannot be is one clear line and exit code 2, before anything is opened.
func TestBadConfigurationIsOneLineAndExitTwo(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","pool":"127.0.0.1:1","seed":"1","stop_ms":100,"settings":`
	for name, text := range map[string]string{
		"none":        "",
		"no JSON":     "{",
		"no settings": `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","seed":"1","stop_ms":100}`,
		"no address":  `{"name":"n","listen":"here","pool":"127.0.0.1:1"}`,
		"no seed":     `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","stop_ms":1}`,
		"no classes":  good + `{}}`,
		"bad figure":  good + `{"RequestClasses":[{"Name":"a","AimUs":-1}]}}`,
		"bad admin":   `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","admin":"127.0.0.1:x","seed":"1","stop_ms":1}`,
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		code := run([]string{"-config", path}, func(string) string { return "" }, &out)
		if code != 2 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: exit %d, %q", name, code, out.String())
		}
	}
	var out bytes.Buffer
	if code := run(nil, func(string) string { return "" }, &out); code != 2 {
		t.Errorf("no path: exit %d", code)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(path, []byte(good+`{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1,"Advert":"level"}}}`), 0o600)
	for name, env := range map[string]map[string]string{
		"bad BALANCER_ADMIN": {"BALANCER_ADMIN": "nowhere"},
		"admin without port": {"BALANCER_ADMIN": "127.0.0.1"},
	} {
		out.Reset()
		code := run([]string{"-config", path}, func(k string) string { return env[k] }, &out)
		if code != 2 || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%s: exit %d, %q", name, code, out.String())
		}
	}
}

// SIGHUP moves the links to the addresses that the file has now; one that cannot be is one log line, and the
// old one goes on. SIGTERM ends the program well.
func TestReload(t *testing.T) {
	front, dir, old, next := scenario.Listen(t), scenario.Listen(t), scenario.Listen(t), scenario.Listen(t)
	front.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(listen, pool string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n","listen":%q,"pool":%q,"lookup":%q,"seed":"1","stop_ms":400,"settings":`+
			`{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1,"Advert":"level"}}}`, listen, pool, dir.Addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	write(front.Addr, old.Addr)
	code := make(chan int)
	log, out := io.Pipe()
	lines := bufio.NewScanner(log)
	go func() { code <- run([]string{"-config", path}, func(string) string { return "" }, out) }()
	expect := func(want string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), want) {
				return
			}
		}
		t.Fatalf("no %q", want)
	}
	expect("msg=started")
	go func() { // the rest of the log is read here, as a pipe holds nothing
		old.Accept().Expect(`"bind"`)
		write("127.0.0.1:1", next.Addr)
		hup()
	}()
	expect("msg=reload ")
	write(front.Addr, next.Addr)
	hup()
	expect("msg=reloaded")
	go io.Copy(io.Discard, log)
	next.Accept().Expect(`"bind","cursor":0`)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if c := <-code; c != 0 {
		t.Errorf("exit %d", c)
	}
}

// A start that fails after the ledger was opened ends it well: its statement is not incomplete for that.
func TestAddressInUse(t *testing.T) {
	taken := scenario.Listen(t)
	home := t.TempDir()
	dir := filepath.Join(home, "ledger")
	for name, text := range map[string]string{
		"config.json": fmt.Sprintf(`{"name":"n","listen":%q,"pool":"127.0.0.1:1","seed":"1","stop_ms":400,"settings":{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1}}}`, taken.Addr),
		"o.toml":      fmt.Sprintf("[ledger]\ndir = %q\n", dir),
	} {
		if err := os.WriteFile(filepath.Join(home, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if code := run([]string{"-config", filepath.Join(home, "config.json"), "-operator", filepath.Join(home, "o.toml")}, func(string) string { return "" }, &out); code != 1 || strings.Count(out.String(), "\n") != 1 {
		t.Fatalf("exit %d: %s", code, out.String())
	}
	o := ledgerstore.Defaults()
	o.Dir = dir
	k, err := ledgerstore.Open(wal.Dir(dir), o, ledgerstore.Config{Server: "n", Classes: []string{"a"}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close(t.Context())
	book, _, err := ledgerstore.ReadLedger(wal.Dir(dir), o)
	if err != nil || book.Incarnation() != 2 || book.Waits() { // an unclean end would wait to be exported
		t.Errorf("incarnation %d, waits %v, %v", book.Incarnation(), book.Waits(), err)
	}
}

// The version and the help are told, and an unknown flag is one line.
func TestArguments(t *testing.T) {
	for arg, want := range map[string]struct {
		code int
		text string
	}{"--version": {0, "larchscale "}, "--help": {0, "--operator=FILE"}, "--bogus": {2, "unknown flag --bogus"}, "-bogus": {2, "unknown flag --bogus"}} {
		var out bytes.Buffer
		if code := run([]string{arg}, func(string) string { return "" }, &out); code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("%s: exit %d: %s", arg, code, out.String())
		}
	}
}

// A SIGTERM before the worker pool is up ends the program well, at once.
func TestSIGTERMBeforeThePoolIsUp(t *testing.T) {
	front, pool := scenario.Listen(t), scenario.Listen(t)
	front.Close()
	pool.Close() // nobody answers there
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"pool":%q,"seed":"1","stop_ms":4000,"settings":`+
		`{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1,"Advert":"level"}}}`, front.Addr, pool.Addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code := make(chan int)
	log, out := io.Pipe()
	go func() { code <- run([]string{"-config", path}, func(string) string { return "" }, out) }()
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=started") {
	}
	go io.Copy(io.Discard, log)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("exit %d", c)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the program did not end within 2 s of SIGTERM; stop_ms is 4 s")
	}
}
