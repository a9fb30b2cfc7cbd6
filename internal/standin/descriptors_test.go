package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchscale/internal/scenario"
	"larchscale/internal/standin"
)

// Names of the environment by which the test's own program starts the real one under a limit of descriptors.
const (
	limitEnv   = "STANDIN_NOFILE"
	programEnv = "STANDIN_PROGRAM"
)

// Before all tests: a process that is only to start the real program becomes it here.
func init() {
	n, err := strconv.ParseUint(os.Getenv(limitEnv), 10, 32)
	if err != nil {
		return
	}
	limit := syscall.Rlimit{Cur: n, Max: n}
	if err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		err = syscall.Exec(os.Getenv(programEnv), os.Args, os.Environ())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(3)
}

// limited gives the path of a program that is the real one under a limit of n descriptors, for boxes of this test.
func limited(t *testing.T, n int) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(limitEnv, strconv.Itoa(n))
	t.Setenv(programEnv, program)
	return self
}

// told makes a box of a program on a site of its own, and changes what its config.json says before it starts.
func told(t *testing.T, program string, change func(config map[string]any)) (*standin.Box, *standin.Site) {
	t.Helper()
	site, err := standin.NewSite(2 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	home := t.TempDir()
	b, err := standin.NewBox(program, home, "n1", site, "")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(home, "config.json")
	text, err := os.ReadFile(path)
	config := map[string]any{}
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err == nil {
		change(config)
		text, err = json.Marshal(config)
	}
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return b, site
}

// started starts a box, which is killed with the test.
func started(t *testing.T, b *standin.Box) {
	t.Helper()
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Kill)
}

// proc is what a process holds and has used of a core.
func proc(t *testing.T, pid int) (descriptors int, cpu time.Duration, rssMB int) {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	number := func(i int) int {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return len(list), time.Duration(number(11)+number(12)) * 10 * time.Millisecond, number(21) * os.Getpagesize() >> 20
}

// idlers are clients that ask once and stay, as many as can be; those beyond are not answered.
func idlers(t *testing.T, addr string, n int) {
	t.Helper()
	for range n {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return // the kernel's queue is full
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, `{"jsonrpc":"2.0","id":1,"method":"status"}`+"\n")
	}
}

// stall has n gateways at a time send a byte of a packet and no more, one after another until the test ends.
func stall(t *testing.T, addr string, n int) {
	t.Helper()
	var all, begun sync.WaitGroup
	t.Cleanup(all.Wait)
	begun.Add(n)
	for range n {
		all.Go(func() {
			for first := true; t.Context().Err() == nil; first = false {
				c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
				if first {
					begun.Done()
				}
				if err != nil { // the kernel's queue is full
					continue
				}
				ended := context.AfterFunc(t.Context(), func() { c.Close() })
				c.Write([]byte{0})
				c.Read(make([]byte, 1))
				ended()
				c.Close()
			}
		})
	}
	begun.Wait()
}

// Idle clients hold all descriptors that the platform or the kernel allows while the directory is down and the pool's
// link breaks: the links keep theirs, a balancer that comes then is served with calls below, no core is burnt on
// accepts, and the directory has this server again once it is back. A platform that allows more than the kernel does
// is no reason to do without.
func TestIdleClientsHoldAllDescriptors(t *testing.T) {
	const real = 128
	for name, x := range map[string]struct {
		sockets  int
		gateways bool // stall too
	}{"as many as the kernel allows": {sockets: real}, "more than the kernel allows": {sockets: 1024},
		"gateways that stall, too": {real, true}} {
		t.Run(name, func(t *testing.T) {
			list := scenario.Listen(t)
			b, site := told(t, limited(t, real), func(c map[string]any) {
				c["limits"], c["lookup"] = map[string]any{"memory_mb": 32, "sockets": x.sockets}, list.Addr
			})
			site.SetAsks(40, 50*time.Millisecond)
			started(t, b)
			report := list.Accept()
			report.Expect(`"open"`)
			list.Close()
			report.Close()

			if x.gateways {
				stall(t, b.Desk, real+32)
			}
			idlers(t, b.Listen, 2*real)
			if c, err := net.Dial("tcp", site.Pool); err != nil { // a new link to the pool ends the box's
				t.Fatal(err)
			} else {
				fmt.Fprintln(c, `{"event":"bind","cursor":1000000}`)
				defer c.Close()
			}
			time.Sleep(300 * time.Millisecond)
			open, before, _ := proc(t, b.Pid())
			time.Sleep(300 * time.Millisecond)
			if _, after, _ := proc(t, b.Pid()); after-before > 150*time.Millisecond {
				t.Errorf("%v of a core in 300 ms with %d descriptors open", after-before, open)
			}
			line, err := standin.DialLine(b.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer line.Close()
			var all sync.WaitGroup
			began := time.Now()
			for i := range 20 { // together, each with a call below
				all.Go(func() {
					r := standin.Request{Handle: fmt.Sprintf("%016x", i+1), Stand: standin.Stands[0], Class: standin.Classes[0],
						Body: fmt.Sprint("ride ", i), Budget: 3 * time.Second}
					if s := line.Do(r); s.End != "served" {
						t.Errorf("%s: %s after %v", r.Body, s.End, time.Since(began))
					}
				})
			}
			answered := make(chan struct{})
			go func() { all.Wait(); close(answered) }()
			select {
			case <-answered:
			case <-time.After(4 * time.Second):
				line.Close()
				<-answered
				t.Errorf("no answer with %d descriptors open", open)
			}
			again, err := net.Listen("tcp", list.Addr)
			if err != nil {
				t.Fatal(err)
			}
			defer again.Close()
			again.(*net.TCPListener).SetDeadline(time.Now().Add(2 * time.Second))
			c, err := again.Accept()
			if err != nil {
				t.Fatalf("not listed again: %v: %s", err, b.Log())
			}
			defer c.Close()
			buf := make([]byte, 1024)
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			for got := ""; !strings.Contains(got, `"open"`); {
				n, err := c.Read(buf)
				if got += string(buf[:n]); err != nil {
					t.Fatalf("not listed again: %q, %v", got, err)
				}
			}
			if n, _, mb := proc(t, b.Pid()); n > real || mb > 32 {
				t.Errorf("%d descriptors, %d MB", n, mb)
			}
		})
	}
}

// Fewer descriptors than the program can do with are one line and exit code 2, also where the platform says more.
func TestTooFewDescriptors(t *testing.T) {
	b, _ := told(t, limited(t, 95), func(map[string]any) {})
	home := filepath.Dir(b.Operator())
	out, err := exec.Command(limited(t, 95), "--config", filepath.Join(home, "config.json")).CombinedOutput()
	if code := exitCode(err); code != 2 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "95") {
		t.Errorf("exit %d: %s", code, out)
	}
}

func exitCode(err error) int {
	if e, ok := err.(*exec.ExitError); ok {
		return e.ExitCode()
	}
	return -1
}
