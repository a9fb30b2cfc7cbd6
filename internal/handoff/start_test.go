package handoff

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// claimant is the environment variable that has this test's binary claim a start file as a process of its own.
const claimant = "LARCHSCALE_CLAIMS"

func TestMain(m *testing.M) {
	if path := os.Getenv(claimant); path != "" {
		if _, err := Claim(path); err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString("claimed\n")
		bufio.NewReader(os.Stdin).ReadByte() // until it is killed, or its parent ends
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// start runs a process that holds the start file, until the test ends or kill is called.
func start(t *testing.T, path string) (pid int, kill func()) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), claimant+"="+path)
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	over := false
	kill = func() {
		if !over {
			over = true
			c.Process.Kill()
			c.Wait()
			in.Close()
		}
	}
	t.Cleanup(kill)
	if line, _ := bufio.NewReader(out).ReadString('\n'); line != "claimed\n" {
		t.Fatalf("the process said %q", line)
	}
	return c.Process.Pid, kill
}

// The newest start is known by its lock: living while its process lives, and dead from then on, though a process of
// the id in the file may live.
func TestTheLockTellsWhoLives(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName("n"))
	own, err := Claim(path)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	look := func(when string, want Holder, pid int, logged string) {
		t.Helper()
		found, err := own.Look()
		to, _ := found.Successor()
		if found.Holder != want || to != pid || (err != nil) != (logged != "") || err != nil && !strings.Contains(err.Error(), logged) {
			t.Errorf("%s: holder %d, to %d, %v; want %d, %d, %q", when, found.Holder, to, err, want, pid, logged)
		}
	}
	look("alone", Self, 0, "")
	pid, kill := start(t, path)
	look("after a newer start", Other, pid, "")
	third, killThird := start(t, path)
	look("after two", Other, third, "")
	killThird()
	look("the newest has died", Nobody, 0, strconv.Itoa(third))
	kill()

	// The id of the one that died goes to another program: this test's own parent lives, and so does init.
	for _, pid := range []int{os.Getppid(), 1} {
		if err := os.WriteFile(path, Record(pid), 0o600); err != nil {
			t.Fatal(err)
		}
		look("a stale file that names a living process", Nobody, 0, strconv.Itoa(pid))
	}
	for name, spoil := range map[string]func() error{
		"empty":       func() error { return os.WriteFile(path, nil, 0o600) },
		"no id":       func() error { return os.WriteFile(path, []byte("spoilt\n"), 0o600) },
		"large":       func() error { return os.WriteFile(path, make([]byte, 1<<20), 0o600) },
		"missing":     func() error { return nil },
		"a directory": func() error { return os.Mkdir(path, 0o700) },
		"a FIFO":      func() error { return syscall.Mkfifo(path, 0o600) },
		"a dead link": func() error { return os.Symlink(path+".none", path) },
	} {
		if err := os.RemoveAll(path); err != nil {
			t.Fatal(err)
		}
		if err := spoil(); err != nil {
			t.Fatal(err)
		}
		if found, err := own.Look(); err == nil || found.Holder == Other || found.Holder == Self {
			t.Errorf("%s: holder %d, %v", name, found.Holder, err)
		}
	}
}

// Two processes that leave at once, after the newest has died, do not take each other for a successor.
func TestALookIsNoHolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName("n"))
	own, err := Claim(path)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, Record(1), 0o600); err != nil {
		t.Fatal(err)
	}
	other, err := os.Open(path) // the other's look, held at its lock
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := lock(other, syscall.LOCK_SH); err != nil {
		t.Fatal(err)
	}
	if found, _ := own.Look(); found.Holder != Nobody {
		t.Errorf("holder %d", found.Holder)
	}
}

// Without a start file of its own a process hands off to nobody: who holds the file may be an older one.
func TestAProcessWithoutAStartFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName("n"))
	start(t, path)
	if err := os.Mkdir(path+"."+strconv.Itoa(os.Getpid()), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path+"."+strconv.Itoa(os.Getpid()), "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	own, err := Claim(path)
	if err == nil || own != nil {
		t.Fatalf("claimed: %v, %v", own, err)
	}
	if found, err := own.Look(); found.Holder != Unknown || err != nil {
		t.Errorf("holder %d, %v", found.Holder, err)
	}
	own.Close()
}
