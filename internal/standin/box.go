package standin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Stands and Classes are those of every box here; the second class is keyed.
var (
	Stands  = []string{"howrah-stand", "sealdah-stand", "esplanade-stand", "dum-dum-stand"}
	Classes = []string{"fare-quote", "book-ride", "ride-status"}
)

// Aim is when a result is due for its whole worth, and Window for how long a keyed result is kept, in the settings of
// every box whose maker says nothing else.
const (
	Aim    = 2900 * time.Millisecond
	Window = 34668 * time.Millisecond
)

// giveUp is after how long a request is given up, unless its maker says otherwise.
const giveUp = 8700 * time.Millisecond

// Memory is how many megabytes a box may use, unless its maker says otherwise.
const Memory = 32

// Build builds the real program into dir.
func Build(dir string) (program string, err error) {
	program = filepath.Join(dir, "larchscale")
	if out, err := exec.Command("go", "build", "-o", program, "larchscale/cmd/larchscale").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}

// WithProgram runs a package's tests with the real program built once for them, and gives the exit code.
func WithProgram(program *string, tests func() int) int {
	dir, err := os.MkdirTemp("", "larchscale-")
	if err == nil {
		defer os.RemoveAll(dir)
		*program, err = Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests()
}

// Box is the real program as a process of its own, on files that outlive it.
type Box struct {
	Name          string
	Listen        string // the platform's front
	Desk          string // the uwsgi front
	Dir           string // its ledger's
	Admin         string // the operators' door
	Tmp           string // its $TMPDIR: a twin shares it
	program, home string
	operator      string // the text of its operator's file, as given
	window        time.Duration
	memory        int // MB that it may use
	size          Size
	cmd           *exec.Cmd
	log           *tail
	ended         chan struct{}
}

// NewBox writes a box's files under home. operator is the text of its operator's file beyond the uwsgi front;
// $DIR in it is the ledger's directory.
func NewBox(program, home, name string, site *Site, operator string) (*Box, error) {
	return newBox(program, home, name, site, operator, Window, Memory)
}

func newBox(program, home, name string, site *Site, operator string, window time.Duration, memory int) (*Box, error) {
	size := Size{Tenants: Stands, Classes: Classes, Sockets: defaultSockets, MemoryMB: memory}
	return newBoxOfSize(program, home, name, site, operator, window, size)
}

func newBoxOfSize(program, home, name string, site *Site, operator string, window time.Duration, size Size) (*Box, error) {
	b := &Box{memory: size.MemoryMB, size: size, Name: name, program: program, home: home, Dir: filepath.Join(home, "ledger"), Tmp: filepath.Join(home, "tmp"), window: window, log: &tail{}}
	var err error
	if b.Listen, err = FreeAddr(); err != nil {
		return nil, err
	}
	return b, b.write(site, operator)
}

// Twin is the next process of box b, as a replacement starts it: the same name and clients' address, the same
// $TMPDIR, another door, uwsgi front and site under home.
func (b *Box) Twin(home string, site *Site) (*Box, error) {
	t := &Box{memory: b.memory, size: b.size, Name: b.Name, Listen: b.Listen, program: b.program, home: home, Dir: filepath.Join(home, "ledger"), Tmp: b.Tmp, window: b.window, log: &tail{}}
	return t, t.write(site, b.operator)
}

// write gives the box its other addresses and writes its files.
func (b *Box) write(site *Site, operator string) error {
	name, home := b.Name, b.home
	var err error
	if b.Desk, err = FreeAddr(); err != nil {
		return err
	}
	if b.Admin, err = FreeAddr(); err != nil {
		return err
	}
	for _, dir := range []string{b.home, b.Tmp} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
	}
	var classes, tenants []map[string]any
	for i, c := range b.size.Classes {
		k := map[string]any{"Name": c, "AimUs": Aim.Microseconds(), "GiveUpUs": cmp.Or(b.size.GiveUp, giveUp).Microseconds(), "Importance": 1, "LateWorth": 0.2, "Effect": "repeatable"}
		if Keyed(i) {
			k["Effect"], k["Importance"], k["MemorySpanUs"] = "by_key", 3, b.window.Microseconds()
		}
		classes = append(classes, k)
	}
	for _, s := range b.size.Tenants {
		tenants = append(tenants, map[string]any{"Name": s, "Fraction": 1 / float64(len(b.size.Tenants)), "QuotaPerS": 1000})
	}
	calls := make([]bool, len(b.size.Classes))
	for i := range calls {
		calls[i] = true
	}
	config, err := json.Marshal(map[string]any{"name": name, "listen": b.Listen, "pool": site.Pool, "index": site.Index, "lookup": site.Lookup,
		"seed": "1", "stop_ms": cmp.Or(b.size.Stop, defaultStop).Milliseconds(), "limits": map[string]any{"memory_mb": b.memory, "sockets": b.size.Sockets},
		"settings": map[string]any{"Servers": 1, "RequestClasses": classes, "Tenants": tenants,
			"FamilyInfo": map[string]any{"Cpus": 6, "Upstreams": 4, "Advert": "level", "MemoryKb": 8_000_000, "RunFactor": 8, "OwnStats": []string{"core_use", "on_cores", "heap_share", "links"},
				"Below": "tier", "ClassCalls": calls, "HangupSeen": true, "Preemption": "drop"},
			"Safety": map[string]any{"FallMultiple": 8, "FallUs": 1500000, "DrainGraceUs": cmp.Or(b.size.Grace, defaultGrace).Microseconds(), "AnswerSlackUs": 80000}}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(home, "config.json"), config, 0o600); err != nil {
		return err
	}
	return b.writeOperator(operator)
}

// writeOperator makes operator the text of its operator's file.
func (b *Box) writeOperator(operator string) error {
	b.operator = operator
	text := fmt.Sprintf("[uwsgi]\nlisten = %q\n", b.Desk) + strings.ReplaceAll(operator, "$DIR", b.Dir)
	return os.WriteFile(b.Operator(), []byte(text), 0o600)
}

// Rewrite changes what the box's config.json says; a process reads it at its start and at a SIGHUP.
func (b *Box) Rewrite(change func(config map[string]any)) error {
	path := filepath.Join(b.home, "config.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	change(config)
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Operator is the path of its operator's file.
func (b *Box) Operator() string { return filepath.Join(b.home, "operator.toml") }

// given are the ports that FreeAddr has given in this process, each with what keeps other processes from being given it:
// who asks for many listens on none of them yet, and a box that is down on none of its own.
var given sync.Map

// FreeAddr gives an address of loopback that nobody listens on, below the ports that connections get: while a box is
// down no connection takes its port. It gives none twice, nor one that another process here was given and still runs.
func FreeAddr() (string, error) {
	var err error
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+rand.IntN(12_000))
		mark, taken := net.Listen("unix", "@larchscale-"+addr) // an abstract name: it ends with the process
		if taken != nil {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			given.Store(addr, mark)
			return addr, l.Close()
		}
		mark.Close()
	}
	return "", errors.Join(errors.New("no free address"), err)
}

// begin starts the process, with its log to out.
func (b *Box) begin(out io.Writer) error {
	b.cmd = exec.Command(b.program, "--config", filepath.Join(b.home, "config.json"), "--operator", b.Operator())
	b.cmd.Stderr = out
	b.cmd.Env = append(os.Environ(), "BALANCER_ADMIN="+b.Admin, "TMPDIR="+b.Tmp)
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		c.Wait()
		close(ended)
	}(b.cmd, b.ended)
	return nil
}

// StartLoggingTo starts the process with a file for its log, which is closed here: nobody waits for its pool.
func (b *Box) StartLoggingTo(out *os.File) error {
	return errors.Join(b.begin(out), out.Close())
}

// Start starts the process and returns once its pool is up.
func (b *Box) Start() error {
	up := b.log.wait("worker pool up")
	if err := b.begin(b.log); err != nil {
		return err
	}
	select {
	case <-up:
		return nil
	case <-b.ended:
		return fmt.Errorf("the box ended: %s", b.log)
	case <-time.After(10 * time.Second):
		b.Kill()
		return fmt.Errorf("the box does not come up: %s", b.log)
	}
}

// Reload has the process read its configuration again, and returns how long that took.
func (b *Box) Reload() (time.Duration, error) {
	done := b.log.wait("reload")
	began := time.Now()
	if err := b.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	select {
	case <-done:
		return time.Since(began), nil
	case <-time.After(10 * time.Second):
		return 0, fmt.Errorf("no reload within 10 s: %s", b.log)
	}
}

// Kill ends the process at once.
func (b *Box) Kill() {
	b.cmd.Process.Signal(syscall.SIGKILL)
	<-b.ended
}

// Started tells that there is, or was, a process of the box.
func (b *Box) Started() bool { return b.ended != nil }

// Pid is the process's.
func (b *Box) Pid() int { return b.cmd.Process.Pid }

// FullDisk has every write of the process to a file fail, as on a full disk, until it ends.
func (b *Box) FullDisk() error {
	none := unix.Rlimit{Cur: 0, Max: 0}
	return unix.Prlimit(b.Pid(), unix.RLIMIT_FSIZE, &none, nil)
}

// Signal sends the process a signal, unless it has ended.
func (b *Box) Signal(sig syscall.Signal) error { return b.cmd.Process.Signal(sig) }

// Ended reports whether the process has ended.
func (b *Box) Ended() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Freeze stops the process where it is, and Thaw has it go on.
func (b *Box) Freeze() { b.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw is after Freeze.
func (b *Box) Thaw() { b.cmd.Process.Signal(syscall.SIGCONT) }

// Term sends SIGTERM, and gives a channel closed when the process has ended.
func (b *Box) Term() <-chan struct{} {
	b.cmd.Process.Signal(syscall.SIGTERM)
	return b.ended
}

// Stop drains it, and gives its exit code.
func (b *Box) Stop() (int, error) {
	b.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-b.ended:
		return b.cmd.ProcessState.ExitCode(), nil
	case <-time.After(10 * time.Second):
		b.Kill()
		return -1, errors.New("the box does not drain")
	}
}

// Log gives the newest lines of its log.
func (b *Box) Log() string { return b.log.String() }

// tail keeps the end of a log and wakes who waits for a word in it.
type tail struct {
	mu   sync.Mutex
	text []byte
	word string
	seen chan struct{}
	// since is the end of what has come since somebody began to wait for the word
	since []byte
}

func (t *tail) wait(word string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.word, t.seen, t.since = word, make(chan struct{}), nil
	return t.seen
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen != nil { // the word may come in pieces
		t.since = append(t.since, b...)
		if bytes.Contains(t.since, []byte(t.word)) {
			close(t.seen)
			t.seen = nil
		}
		t.since = t.since[max(0, len(t.since)-len(t.word)):]
	}
	t.text = append(t.text, b...)
	if n := len(t.text) - 16<<10; n > 0 {
		t.text = append([]byte{}, t.text[n:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

var _ io.Writer = (*tail)(nil)
