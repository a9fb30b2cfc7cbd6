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

// claimPathVar is the environment variable that makes this test binary claim a start file as a separate process.
const claimPathVar = "LARCHSCALE_CLAIMS"

func TestMain(m *testing.M) {
	if path := os.Getenv(claimPathVar); path != "" {
		if _, err := Claim(path); err != nil {
			os.Exit(1)
		}
		os.Stdout.WriteString("claimed\n")
		bufio.NewReader(os.Stdin).ReadByte() // until the process is killed, or its parent ends
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// start runs a process that holds the start file until the test ends or kill is called.
func start(t *testing.T, path string) (pid int, kill func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), claimPathVar+"="+path)
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	kill = func() {
		if !ended {
			ended = true
			cmd.Process.Kill()
			cmd.Wait()
			in.Close()
		}
	}
	t.Cleanup(kill)
	if line, _ := bufio.NewReader(out).ReadString('\n'); line != "claimed\n" {
		t.Fatalf("unexpected output of the process: %q", line)
	}
	return cmd.Process.Pid, kill
}

// The holder of the newest start is determined by its lock: it counts as running while its process runs and as ended
// from then on, even if the process id in the file is in use by another process.
func TestLockDeterminesHolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), FileName("n"))
	own, err := Claim(path)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	look := func(when string, want Holder, pid int, wantErr string) {
		t.Helper()
		found, err := own.Inspect()
		to, _ := found.Successor()
		if found.Holder != want || to != pid || (err != nil) != (wantErr != "") || err != nil &&
			!strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: holder %d, successor %d, error %v; want %d, %d, %q", when, found.Holder, to, err, want, pid,
				wantErr)
		}
	}
	look("no other process", Self, 0, "")
	pid, kill := start(t, path)
	look("after a newer start", Other, pid, "")
	third, killThird := start(t, path)
	look("after two newer starts", Other, third, "")
	killThird()
	look("after the newest has ended", Nobody, 0, strconv.Itoa(third))
	kill()

	// The process id of the ended process is reused: this test's own parent is running, and so is init.
	for _, pid := range []int{os.Getppid(), 1} {
		if err := os.WriteFile(path, Record(pid), 0o600); err != nil {
			t.Fatal(err)
		}
		look("a stale file with the id of a running process", Nobody, 0, strconv.Itoa(pid))
	}
	for name, corrupt := range map[string]func() error{
		"empty":           func() error { return os.WriteFile(path, nil, 0o600) },
		"no process id":   func() error { return os.WriteFile(path, []byte("corrupt\n"), 0o600) },
		"large":           func() error { return os.WriteFile(path, make([]byte, 1<<20), 0o600) },
		"missing":         func() error { return nil },
		"a directory":     func() error { return os.Mkdir(path, 0o700) },
		"a FIFO":          func() error { return syscall.Mkfifo(path, 0o600) },
		"a dangling link": func() error { return os.Symlink(path+".none", path) },
	} {
		if err := os.RemoveAll(path); err != nil {
			t.Fatal(err)
		}
		if err := corrupt(); err != nil {
			t.Fatal(err)
		}
		if found, err := own.Inspect(); err == nil || found.Holder == Other || found.Holder == Self {
			t.Errorf("%s: holder %d, %v", name, found.Holder, err)
		}
	}
}

// After the newest process has ended, two processes that shut down at once do not take each other for a successor.
func TestLookIsNotAHolder(t *testing.T) {
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
	other, err := os.Open(path) // the other process's check, while it holds its lock
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := lock(other, syscall.LOCK_SH); err != nil {
		t.Fatal(err)
	}
	if found, _ := own.Inspect(); found.Holder != Nobody {
		t.Errorf("holder %d", found.Holder)
	}
}

// A process without a start file of its own never hands off: the holder of the file may be older.
func TestProcessWithoutStartFile(t *testing.T) {
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
		t.Fatalf("Claim returned %v, %v; want an error", own, err)
	}
	if found, err := own.Inspect(); found.Holder != Unknown || err != nil {
		t.Errorf("holder %d, %v", found.Holder, err)
	}
	own.Close()
}
