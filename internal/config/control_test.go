package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// goodControl is the least that a control node's file has.
const goodControl = "name = 'c2'\nzone = 'a'\nregion = 'north'\ndir = 'x'\nsessions = '127.0.0.1:21'\nnodes = ['c1=127.0.0.1:11', 'c2=127.0.0.1:12', 'c3=127.0.0.1:13']\n"

func loadControl(t *testing.T, text string) (*Control, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadControl(file)
}

// The file in deploy is good and says what the defaults are; what a file leaves out keeps its default.
func TestControl(t *testing.T) {
	deployed, err := LoadControl("../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	least, err := loadControl(t, goodControl)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Control{deployed, least} {
		bounds := *ControlDefaults()
		got := Control{MaxSessions: c.MaxSessions, OpensPerSecond: c.OpensPerSecond, OpensBurst: c.OpensBurst, MaxSnapshots: c.MaxSnapshots,
			DrainPerSecond: c.DrainPerSecond, SilentMs: c.SilentMs, MemoryMB: c.MemoryMB}
		if diff := cmp.Diff(bounds, got, cmp.AllowUnexported(Control{})); diff != "" {
			t.Error(diff)
		}
	}
	way := least.Link()
	if way.Listen != "127.0.0.1:12" || !cmp.Equal(way.Servers, []string{"c1=127.0.0.1:11", "c3=127.0.0.1:13"}) {
		t.Errorf("%+v", way)
	}
	if least.Addr("c3") != "127.0.0.1:13" || least.Addr("c9") != "" || !cmp.Equal(least.Names(), []string{"c1", "c2", "c3"}) {
		t.Errorf("%+v", least)
	}
}

// What a control node's file cannot be is one line that names what is wrong.
func TestControlFilesThatCannotBe(t *testing.T) {
	with := func(old, new string) string { return strings.Replace(goodControl, old, new, 1) }
	for name, file := range map[string]struct{ text, names string }{
		"no TOML":               {"name = ", "control.toml"},
		"unknown key":           {goodControl + "sesions = 'x'", "unknown key sesions"},
		"unknown table":         {goodControl + "[fleet]\ndir = 'x'", "unknown key fleet"},
		"no name":               {with("name = 'c2'", ""), "name is"},
		"no zone":               {with("zone = 'a'", ""), "zone is"},
		"no region":             {with("region = 'north'", ""), "region is"},
		"long name":             {with("'c2'", "'"+strings.Repeat("c", 65)+"'"), "name is"},
		"no directory":          {with("dir = 'x'", ""), "dir is not set"},
		"not among the nodes":   {with("'c2'", "'c4'"), "does not name c4"},
		"two with one address":  {with("127.0.0.1:13", "127.0.0.1:11"), "c1 and c3 have one address"},
		"one name twice":        {with("c3=", "c1="), "c1 is there twice"},
		"two nodes":             {with(", 'c3=127.0.0.1:13'", ""), "a majority"},
		"no nodes":              {with("nodes = ['c1=127.0.0.1:11', 'c2=127.0.0.1:12', 'c3=127.0.0.1:13']", "nodes = []"), "does not name c2"},
		"more than seven":       {with("'c3=127.0.0.1:13'", "'3=127.0.0.1:3', '4=127.0.0.1:4', '5=127.0.0.1:5', '6=127.0.0.1:6', '7=127.0.0.1:7', '8=127.0.0.1:8'"), "7 at most"},
		"no address":            {with("127.0.0.1:13", "here"), "is no address"},
		"a host's name":         {with("127.0.0.1:13", "c3.example:13"), "is no address"},
		"no sessions":           {with("sessions = '127.0.0.1:21'", ""), "sessions"},
		"sessions on the link":  {with("127.0.0.1:21", "127.0.0.1:12"), "listen and sessions are both"},
		"admin on the link":     {goodControl + "admin = '127.0.0.1:12'", "listen and admin are both"},
		"off the machine":       {with("127.0.0.1:13", "10.0.0.3:13"), "mutual TLS"},
		"sessions off it":       {with("127.0.0.1:21", "10.0.0.2:21"), "mutual TLS"},
		"half a certificate":    {goodControl + "ca = '/nowhere'", "go together"},
		"no certificate":        {goodControl + "ca = '/nowhere'\ncert = '/nowhere'\nkey = '/nowhere'", "/nowhere"},
		"no session may be":     {goodControl + "max_sessions = 0", "max_sessions is 0"},
		"more sessions than":    {goodControl + "max_sessions = 1537", "max_sessions is 1537"},
		"opens":                 {goodControl + "opens_per_second = 0", "opens_per_second"},
		"burst":                 {goodControl + "opens_burst = 0", "opens_burst"},
		"snapshots":             {goodControl + "max_snapshots = 0", "max_snapshots"},
		"drain":                 {goodControl + "drain_per_second = 0", "drain_per_second"},
		"silence":               {goodControl + "silent_ms = 10", "silent_ms"},
		"memory":                {goodControl + "memory_mb = 1", "memory_mb"},
		"wrong type":            {goodControl + "max_sessions = 'x'", "max_sessions"},
		"a listener that's odd": {goodControl + "listen = ':12'", "listen"},
	} {
		_, err := loadControl(t, file.text)
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), file.names) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
