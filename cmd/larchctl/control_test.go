package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larchscale/internal/standin"
)

// The commands at a fleet with control nodes: status, documents, members and a plan; what cannot be is one line.
func TestControlTierCommands(t *testing.T) {
	dir := t.TempDir()
	program, err := standin.Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	control, err := standin.BuildControl(dir)
	if err != nil {
		t.Fatal(err)
	}
	tier, err := standin.NewTier(program, control, t.TempDir(), standin.TierOptions{Nodes: 3, Servers: 2, DrainMs: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer tier.Close()
	file := filepath.Join(dir, "lanes.json")
	if err := os.WriteFile(file, []byte(`{"lanes": 2}`), 0o600); err != nil {
		t.Fatal(err)
	}
	large := filepath.Join(dir, "large")
	if err := os.WriteFile(large, make([]byte, 64<<10+1), 0o600); err != nil {
		t.Fatal(err)
	}
	fleet := func(args ...string) (int, string) {
		return call(append(append([]string{"fleet"}, args...), "--control", tier.Nodes[1].File())...)
	}
	wait := func(args []string, has ...string) {
		t.Helper()
		text := ""
		if err := standin.Until(fmt.Sprint(args), 30*time.Second, func() bool {
			var code int
			if code, text = fleet(args...); code != 0 {
				return false
			}
			for _, part := range has {
				if !strings.Contains(text, part) {
					return false
				}
			}
			return true
		}); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
	}
	wait([]string{"status"}, "app-1", "app-2", "north", "the configuration is at revision 0: 0 of 2 servers with a session are behind")
	wait([]string{"config", "put", "flags/lanes", file, "--by", "staff"}, "document flags/lanes has 12 bytes")
	wait([]string{"status"}, ": 0 of 2 servers with a session are behind")
	wait([]string{"members"}, "c1", "c2", "c3", "leader")
	for _, x := range []struct {
		args []string
		code int
		has  string
	}{
		{[]string{"config", "get", "flags/lanes"}, 0, `{"lanes": 2}`},
		{[]string{"config", "get", "flags/none"}, 1, "there is no document flags/none"},
		{[]string{"config", "list"}, 0, "flags/lanes"},
		{[]string{"config", "put", "a key", file, "--by", "staff"}, 1, "printable ASCII"},
		{[]string{"config", "put", "flags/lanes", file}, 2, "--by"},
		{[]string{"config", "put", "flags/lanes", large, "--by", "staff"}, 2, "more than 65536 bytes"},
		{[]string{"config", "put", "flags/lanes", file + "x", "--by", "staff"}, 2, "no such file"},
		{[]string{"config", "put", "flags/lanes", file, "--by", "staff", "--expect", "1"}, 1, "revision"},
		{[]string{"config", "delete", "flags/lanes", "--by", "staff"}, 0, "document flags/lanes is deleted"},
		{[]string{"config", "get", "flags/lanes"}, 1, "there is no document flags/lanes"},
		{[]string{"config", "delete", "flags/lanes", "--by", "staff"}, 1, "unknown document"},
		{[]string{"take-out", "disks", "--boxes", "app-2", "--floor", "0", "--by", "staff", "--reason", "new disks"}, 0, "plan disks takes out app-2"},
		{[]string{"cancel", "disks"}, 0, "plan disks is cancelled"},
		{[]string{"status", "--operator", "x"}, 2, "can't be used together"},
	} {
		if code, text := fleet(x.args...); code != x.code || !strings.Contains(text, x.has) || code != 0 && strings.Count(text, "\n") != 1 {
			t.Errorf("%v: exit %d: %s", x.args, code, text)
		}
	}
	operator := tier.Servers[0].Operator()
	if code, text := call("fleet", "status", "--operator", operator); code != 2 || !strings.Contains(text, "name a node's file with --control") {
		t.Errorf("exit %d: %s", code, text)
	}
}
