// Command second plays the cases of the second review: real boxes as separate processes, beside stand-ins on loopback.
// Exit codes: 0 = the rule held, 1 = it was broken, 2 = the case could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitVoid   = 2
)

// longest is when a case that has not ended counts as one that could not run.
const longest = 115 * time.Second

// play is one run of a case.
type play struct {
	root, home string
	trouble    bool // the disruption is played
	began      time.Time
	mu         sync.Mutex
	record     io.Writer
	ends       []func() // newest last
	over       bool
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// atEnd has f run at the end of the case.
func (p *play) atEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		go f()
		return
	}
	p.ends = append(p.ends, f)
}

// end ends all that the case began.
func (p *play) end() {
	p.mu.Lock()
	ends := p.ends
	p.ends, p.over = nil, true
	p.mu.Unlock()
	for i := range ends {
		ends[len(ends)-1-i]()
	}
	os.RemoveAll(p.home)
}

// errVoid is a case that could not run.
var errVoid = errors.New("the case could not run")

// void says why a case could not run.
func void(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errVoid, fmt.Sprintf(format, args...))
}

// until waits until done holds.
func until(what string, most time.Duration, done func() bool) error {
	for end := time.Now().Add(most); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return void("%s: not within %s", what, most)
		}
	}
	return nil
}

// set tells whether a variable of the environment is anything but 0.
func set(name string) bool { return os.Getenv(name) != "0" }

// ctl runs the operators' command line and records what it printed.
func (p *play) ctl(env []string, args ...string) (code int, out string) {
	c := exec.Command(filepath.Join(p.root, "bin", "larchctl"), args...)
	c.Env = append(os.Environ(), env...)
	text, err := c.CombinedOutput()
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		code = ended.ExitCode()
	} else if err != nil {
		code = -1
	}
	p.note("larchctl %s: exit code %d: %s", strings.Join(args, " "), code, strings.Join(strings.Fields(string(text)), " "))
	return code, string(text)
}

// cases are the cases by name. Each returns how the rule was broken; nothing = it held.
var cases = map[string]func(*play) ([]string, error){
	"back":      playBack,
	"first":     playFirst,
	"calls":     playCalls,
	"statement": playStatement,
	"closed":    playClosed,
	"held":      playHeld,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE ROOT RECORD")
		return exitVoid
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitVoid
	}
	defer record.Close()
	home, err := os.MkdirTemp("", "larchscale-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitVoid
	}
	p := &play{root: os.Args[2], home: home, trouble: set("TROUBLE"), began: time.Now(), record: record}
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-stop:
		r.err = void("it was stopped")
	case <-time.After(longest):
		r.err = void("it has not ended after %s", longest)
	}
	p.end()
	switch {
	case r.err != nil:
		p.note("void: %v", r.err)
		fmt.Println("void:", r.err)
		return exitVoid
	case len(r.broken) > 0:
		for _, line := range r.broken {
			p.note("broken: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	p.note("held")
	fmt.Println("held")
	return exitHeld
}
