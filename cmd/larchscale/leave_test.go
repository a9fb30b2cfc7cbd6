package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"larchscale/internal/handoff"
	"larchscale/internal/scenario"
)

// logged is the program's log, as who waits for its lines sees it.
type logged struct {
	mu   sync.Mutex
	more *sync.Cond
	text string
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(b)
	l.more.Broadcast()
	return len(b), nil
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

// instance is the program in this process: the test's own SIGTERM is its SIGTERM.
type instance struct {
	t      *testing.T
	log    *logged
	code   chan int
	listen string
	config string // the path of its file
	start  string // the path of its start file
}

// launch starts the program on a $TMPDIR of its own, and returns at its "started" line. With up its worker pool is up.
func launch(t *testing.T, up bool) *instance {
	t.Helper()
	catchSignals() // as main does: a signal that comes once run has ended is nobody's
	t.Setenv("TMPDIR", t.TempDir())
	front, pool := scenario.Listen(t), scenario.Listen(t)
	front.Close()
	if !up {
		pool.Close()
	}
	p := &instance{t: t, log: &logged{}, code: make(chan int, 1), listen: front.Addr, config: filepath.Join(t.TempDir(), "config.json"),
		start: filepath.Join(os.TempDir(), handoff.FileName("n"))}
	p.log.more = sync.NewCond(&p.log.mu)
	text := fmt.Sprintf(`{"name":"n","listen":%q,"pool":%q,"seed":"1","stop_ms":1000,"settings":{"RequestClasses":[{"Name":"a","AimUs":300000,"GiveUpUs":300000}],`+
		`"FamilyInfo":{"Cpus":1,"Advert":"level"}}}`, front.Addr, pool.Addr)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	go func() { p.code <- run([]string{"-config", p.config}, func(string) string { return "" }, p.log) }()
	p.expect("msg=started")
	if up {
		link := pool.Accept()
		link.Expect(`"bind"`)
		link.Send(`{"event":"bound","fate":"hot","lasted":60000}` + "\n")
		p.expect("worker pool up")
	}
	return p
}

// expect waits until the log says want.
func (p *instance) expect(want string) {
	p.t.Helper()
	late := time.AfterFunc(10*time.Second, func() { p.log.more.Broadcast() })
	defer late.Stop()
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); !strings.Contains(p.log.text, want); p.log.more.Wait() {
		if time.Now().After(end) {
			p.t.Fatalf("no %q in %s", want, p.log.text)
		}
	}
}

// signal sends the program a signal, and returns once it has it: none is left for the next test.
func (p *instance) signal(s syscall.Signal) {
	seen := make(chan os.Signal, 1)
	signal.Notify(seen, s)
	defer signal.Stop(seen)
	syscall.Kill(os.Getpid(), s)
	<-seen
}

// ends expects exit code 0, and what the log says how often.
func (p *instance) ends(want map[string]int) {
	p.t.Helper()
	select {
	case code := <-p.code:
		if code != 0 {
			p.t.Errorf("exit %d", code)
		}
	case <-time.After(10 * time.Second):
		p.t.Fatalf("it does not end: %s", p.log)
	}
	for word, n := range want {
		if got := strings.Count(p.log.String(), word); got != n {
			p.t.Errorf("%d of %q, want %d: %s", got, word, n, p.log)
		}
	}
}

// succeed is another process of the server that starts.
func (p *instance) succeed() *handoff.StartFile {
	p.t.Helper()
	next, err := handoff.Claim(p.start)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(next.Close)
	return next
}

// serves expects an answer on a connection of its own, made now.
func (p *instance) serves() {
	p.t.Helper()
	peer := scenario.Dial(p.t, p.listen)
	peer.Send(`{"jsonrpc":"2.0","id":1,"method":"status"}` + "\n")
	peer.Expect(`"id":1,"result"`)
	peer.Close()
}

const (
	drains   = "msg=draining"
	handsOff = `msg="handing off" server=n to=`
	oddStart = `msg="start file"`
)

// A start file whose process has ended makes no handoff of a SIGTERM, whoever has its process id by now; a file that
// cannot be a start neither. Each is one line in the log.
func TestASpoiltOrStaleStartFileIsNoSuccessor(t *testing.T) {
	for name, spoil := range map[string]func(path string) error{
		"the id is another program's": func(path string) error { return os.WriteFile(path, handoff.Record(os.Getppid()), 0o600) },
		"empty":                       func(path string) error { return os.WriteFile(path, nil, 0o600) },
		"missing":                     func(string) error { return nil },
		"a directory":                 func(path string) error { return os.Mkdir(path, 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			p := launch(t, false)
			if err := errors.Join(os.Remove(p.start), spoil(p.start)); err != nil {
				t.Fatal(err)
			}
			p.signal(syscall.SIGTERM)
			p.ends(map[string]int{drains: 1, handsOff: 0, oddStart: 1})
		})
	}
}

// A process is the newest start by the time it binds the address: an older one never drains beside one that is bound.
// A start that fails leaves nobody to hand off to.
func TestTheStartIsClaimedBeforeTheAddress(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	older, err := handoff.Claim(filepath.Join(os.TempDir(), handoff.FileName("n")))
	if err != nil {
		t.Fatal(err)
	}
	defer older.Close()
	taken := scenario.Listen(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"pool":"127.0.0.1:1","seed":"1","stop_ms":400,"settings":{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1}}}`, taken.Addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if code := run([]string{"-config", path}, func(string) string { return "" }, io.Discard); code != 1 {
		t.Fatalf("exit %d", code)
	}
	if found, _ := older.Inspect(); found.Holder != handoff.Nobody {
		t.Errorf("after a start that failed at its address the start file's holder is %d", found.Holder)
	}
}

// The first SIGTERM decides: what a second one would find changes nothing, nothing is shut that serves on, and the
// program ends well.
func TestTheFirstSIGTERMDecides(t *testing.T) {
	for name, steps := range map[string]func(p *instance){
		"a successor after the notice": func(p *instance) {
			scenario.Dial(t, p.listen) // stays, so that the drain does
			p.serves()
			p.signal(syscall.SIGTERM)
			p.expect(drains)
			p.succeed()
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGHUP)
			p.expect("msg=reloaded")
			p.serves()
			p.ends(map[string]int{drains: 1, handsOff: 0, oddStart: 0})
		},
		"the successor dies after the handoff": func(p *instance) {
			next := p.succeed()
			p.signal(syscall.SIGTERM)
			p.expect(handsOff)
			next.Close()
			p.signal(syscall.SIGTERM)
			p.ends(map[string]int{drains: 1, handsOff: 1, oddStart: 0})
		},
		"a successor of the successor": func(p *instance) {
			p.succeed().Close()
			p.succeed()
			p.signal(syscall.SIGTERM)
			p.expect(handsOff)
			p.succeed()
			p.signal(syscall.SIGTERM)
			p.ends(map[string]int{drains: 1, handsOff: 1, oddStart: 0})
		},
	} {
		t.Run(name, func(t *testing.T) { steps(launch(t, true)) })
	}
}

// A handoff before the worker pool is up ends well.
func TestAHandoffBeforeThePoolIsUp(t *testing.T) {
	p := launch(t, false)
	p.succeed()
	p.signal(syscall.SIGTERM)
	p.ends(map[string]int{drains: 1, handsOff: 1, oddStart: 0})
}

// A reload that hangs on its file does not hold up the notice to leave.
func TestASIGTERMCrossesAReloadThatHangs(t *testing.T) {
	p := launch(t, false)
	if err := errors.Join(os.Remove(p.config), syscall.Mkfifo(p.config, 0o600)); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	file, err := os.OpenFile(p.config, os.O_WRONLY, 0) // once the reload has it open
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	p.signal(syscall.SIGTERM)
	p.ends(map[string]int{drains: 1})
}

// No number of SIGHUPs during the start takes the place of a SIGTERM.
func TestManySIGHUPsTakeNoSIGTERMsPlace(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	front := scenario.Listen(t)
	front.Close()
	home := t.TempDir()
	config, operator := filepath.Join(home, "config.json"), filepath.Join(home, "operator.toml")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"pool":"127.0.0.1:1","seed":"1","stop_ms":400,"settings":{"RequestClasses":[{"Name":"a","AimUs":1000000}],"FamilyInfo":{"Cpus":1}}}`, front.Addr)
	if err := errors.Join(os.WriteFile(config, []byte(text), 0o600), syscall.Mkfifo(operator, 0o600)); err != nil {
		t.Fatal(err)
	}
	p := &instance{t: t, log: &logged{}, code: make(chan int, 1)}
	p.log.more = sync.NewCond(&p.log.mu)
	seen := make(chan os.Signal, 1)
	signal.Notify(seen, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1)
	defer signal.Stop(seen)
	go func() {
		p.code <- run([]string{"-config", config, "-operator", operator}, func(string) string { return "" }, p.log)
	}()
	file, err := os.OpenFile(operator, os.O_WRONLY, 0) // once the program has it open: it hears signals by then
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.signal(syscall.SIGHUP)
		<-seen
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGUSR1} { // the runtime hands on one after the other
		p.signal(s)
		<-seen
	}
	file.Close() // an operator's file that says nothing
	p.ends(map[string]int{drains: 1})
}

// ending is the environment variable that has this test's binary be the program, and get a SIGTERM just before its end.
const ending = "LARCHSCALE_ENDING"

func TestMain(m *testing.M) {
	if os.Getenv(ending) == "" {
		os.Exit(m.Run())
	}
	catchSignals()
	code := run(nil, func(string) string { return "" }, io.Discard)
	runtime.LockOSThread()
	unix.Tgkill(os.Getpid(), unix.Gettid(), unix.SIGTERM) // to this thread: it has come when the call is over
	os.Exit(code)
}

// A SIGTERM after all is over, just before the program ends, changes nothing about its exit code.
func TestASIGTERMAfterTheEnd(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), ending+"=1")
	if c.Run(); c.ProcessState.ExitCode() != 2 { // it was given no configuration
		t.Errorf("%s", c.ProcessState)
	}
}

// anyListener is a listener that no kernel steers.
type anyListener struct{ net.Listener }

// The listeners of all fronts are steered to the successor; those that the kernel does not steer are one error.
func TestEveryFrontIsSteered(t *testing.T) {
	a, b := scenario.Listen(t), scenario.Listen(t)
	err := steer([]net.Listener{anyListener{a.Listener()}, anyListener{b.Listener()}})
	if err == nil || !strings.Contains(err.Error(), a.Addr) || !strings.Contains(err.Error(), b.Addr) {
		t.Errorf("%v does not name %s and %s", err, a.Addr, b.Addr)
	}
	if err := steer(nil); err != nil {
		t.Error(err)
	}
}
