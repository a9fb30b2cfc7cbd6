package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"larchscale/internal/core"
	"larchscale/internal/export"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/replycache"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/peers"
	"larchscale/internal/store"
	"larchscale/internal/uwsgi"
)

const platform = `{"name":"n3","listen":"127.0.0.4:6565","pool":"127.1.0.1:6100","lookup":"127.2.0.1:2379","index":"127.1.0.2:7700",
 "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0},"settings":{"Tenants":[{"Name":"north"}],
 "RequestClasses":[{"Name":"book","Effect":"by_key","AimUs":1,"GiveUpUs":2,"MemorySpanUs":3}],"FamilyInfo":{"ClassCalls":[true],"ClassSkipWorth":[0.5],"Cpus":6,"Below":"tier"}}}`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	got := []any{c.Name, c.Listen, c.Pool, c.Lookup, c.Index, c.Site.StopTime.Milliseconds(), c.Site.Classes, c.Site.Tenants, c.Site.Keyed(0),
		c.Site.Control.Seed, c.Site.Control.Cores, c.Site.Control.DownstreamSheds, c.Site.Control.Classes[0].SkipWorth}
	want := []any{"n3", "127.0.0.4:6565", "127.1.0.1:6100", "127.2.0.1:2379", "127.1.0.2:7700", int64(3200), []string{"book"}, []string{"north"}, true,
		uint64(0x8c1f30d27a5be964), 6, true, 0.5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Settings that cannot be are one line that names the class and the setting; what only looks odd is taken.
func TestSettingsThatCannotBe(t *testing.T) {
	for name, x := range map[string]struct{ classes, family, want string }{
		"an unknown effect":                 {`{"Name":"a","Effect":"sometimes"}`, `{}`, `"a": Effect is "sometimes"`},
		"a key without a window":            {`{"Name":"a","Effect":"by_key"}`, `{}`, `"a": MemorySpanUs`},
		"a skip worth without a call":       {`{"Name":"a"}`, `{"ClassCalls":[false],"ClassSkipWorth":[0.6]}`, `"a": ClassSkipWorth without`},
		"a class that calls but is unknown": {`{"Name":"a"}`, `{"ClassCalls":[false,true]}`, `ClassCalls has 2 entries for 1 classes`},
		"a call with nothing below":         {`{"Name":"a"}`, `{"Below":"none","ClassCalls":[true]}`, `"a": ClassCalls`},
		"two classes of one name":           {`{"Name":"a"},{"Name":"a"}`, `{}`, `RequestClasses[1] "a": Name`},
		"a window that means nothing":       {`{"Name":"a","Effect":"once","MemorySpanUs":5000000}`, `{}`, ""},
	} {
		_, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,"settings":{"RequestClasses":[` +
			x.classes + `],"FamilyInfo":` + x.family + `}}`))
		switch {
		case x.want == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: %v, want %q", name, err, x.want)
		}
	}
}

// The operator's file: what it leaves out keeps its default, what it cannot be is one line, and the one in
// deploy/ is good and says what the defaults are.
func TestOperator(t *testing.T) {
	c, err := Parse([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", "../../deploy/operator.toml"} {
		o, err := LoadOperator(path, c)
		if err != nil {
			t.Fatal(err)
		}
		want := &Operator{uwsgi.Defaults(), store.Defaults(), Ledger{ledgerstore.Defaults(), export.Defaults(), peers.Defaults()}, driver.Defaults(), replycache.Defaults(), controlclient.Defaults()}
		if path != "" {
			want.UWSGI.Listen, want.UWSGI.DownstreamServers, want.Ledger.Peers.Servers = "127.0.0.4:6566", []string{}, []string{}
		}
		if diff := cmp.Diff(want, o); diff != "" {
			t.Errorf("%q: %s", path, diff)
		}
	}
	for name, text := range map[string]string{
		"no TOML":          "[uwsgi",
		"unknown key":      "[uwsgi]\nlisten_on = ':1'",
		"wrong type":       "[uwsgi]\nmax_body = 'x'",
		"bad address":      "[uwsgi]\nlisten = 'here'",
		"bad prefix":       "[uwsgi]\nprefix = 'x'",
		"body":             "[uwsgi]\nmax_body = 0",
		"connections":      "[uwsgi]\nmax_conns = 9999",
		"calls":            "[uwsgi]\nmax_calls = 0",
		"time to read":     "[uwsgi]\nread_ms = 0",
		"memory":           "[uwsgi]\nheld_kb = -1",
		"timeout":          "[store]\ntimeout_ms = 0",
		"ledger mode":      "[ledger]\ndir = 'x'\nmode = 'lax'",
		"failure":          "[ledger]\ndir = 'x'\non_failure = 'wait'",
		"period":           "[ledger]\ndir = 'x'\nperiod = 'year'",
		"zone":             "[ledger]\ndir = 'x'\ntime_zone = 'Bengal'",
		"disk":             "[ledger]\ndir = 'x'\ndisk_kb = 4096",
		"grace":            "[ledger]\ndir = 'x'\ngrace_s = 0",
		"no directory":     "[ledger.collector]\nurl = 'http://127.0.0.1:1/'",
		"no URL":           "[ledger]\ndir = 'x'\n[ledger.collector]\nurl = '127.0.0.1:1'",
		"plain URL":        "[ledger]\ndir = 'x'\n[ledger.collector]\nurl = 'http://10.0.0.1/'",
		"no CA":            "[ledger]\ndir = 'x'\n[ledger.collector]\nurl = 'https://10.0.0.1/'\nca = '/nowhere'",
		"peer's name":      "[ledger]\ndir = 'x'\n[ledger.peers]\nlisten = '127.0.0.1:1'\nboxes = ['127.0.0.1:2']",
		"peers plain":      "[ledger]\ndir = 'x'\n[ledger.peers]\nlisten = '127.0.0.1:1'\nboxes = ['n2=10.0.0.2:2']",
		"no listener":      "[ledger]\ndir = 'x'\n[ledger.peers]\nboxes = ['n2=127.0.0.1:2']",
		"voters":           "[fleet]\nvoters = 2",
		"control address":  "[control]\nnodes = ['c1=here']\nzone = 'a'",
		"control twice":    "[control]\nnodes = ['c1=127.0.0.1:1', 'c2=127.0.0.1:1']\nzone = 'a'",
		"control name":     "[control]\nnodes = ['c1=127.0.0.1:1', 'c1=127.0.0.1:2']\nzone = 'a'",
		"control zone":     "[control]\nnodes = ['c1=127.0.0.1:1']",
		"control drain":    "[control]\nnodes = ['c1=127.0.0.1:1']\nzone = 'a'\ndrain_ms = -1",
		"control alone":    "[control]\nzone = 'a'",
		"control plain":    "[control]\nnodes = ['c1=10.0.0.1:1']\nzone = 'a'",
		"control no CA":    "[control]\nnodes = ['c1=10.0.0.1:1']\nzone = 'a'\nca = '/nowhere'\ncert = '/nowhere'\nkey = '/nowhere'",
		"control half TLS": "[control]\nnodes = ['c1=127.0.0.1:1']\nzone = 'a'\nca = '/nowhere'",
		"control 8":        "[control]\nnodes = ['1=127.0.0.1:1', '2=127.0.0.1:2', '3=127.0.0.1:3', '4=127.0.0.1:4', '5=127.0.0.1:5', '6=127.0.0.1:6', '7=127.0.0.1:7', '8=127.0.0.1:8']\nzone = 'a'",
		"control member":   "[control]\nnodes = ['c1=127.0.0.1:1']\nzone = 'a'\n[fleet]\ndir = 'x'\nzone = 'a'\n[ledger.peers]\nlisten = '127.0.0.1:1'",
		"control takeover": "[control]\nnodes = ['c1=127.0.0.1:1']\nzone = 'a'\n[fleet]\ntake_over = true",
		"control trials":   "[control]\nnodes = ['c1=127.0.0.1:1']\nzone = 'a'\n[fleet]\ntrial_calls = ['127.0.0.1:2']",
		"silence":          "[fleet]\nsilent_ms = 10",
		"no zone":          "[fleet]\ndir = 'x'\n[ledger.peers]\nlisten = '127.0.0.1:1'",
		"no way":           "[fleet]\ndir = 'x'\nzone = 'a'",
		"one place":        "[fleet]\ndir = 'x'\nzone = 'a'\n[ledger]\ndir = 'x'\n[ledger.peers]\nlisten = '127.0.0.1:1'",
		"half a pair":      "[ledger]\ndir = 'x'\n[ledger.collector]\nurl = 'https://10.0.0.1/'\ncert = 'x'",
		"kept unknown":     "[kept]\nbytes = 100000\nclasses = { \"nothing\" = 5 }",
		"kept keyed":       "[kept]\nbytes = 100000\nclasses = { \"book\" = 5 }",
		"kept, off":        "[kept]\nclasses = { \"book\" = 5 }",
		"below":            "[uwsgi]\nbelow = ['127.0.0.1:1']\n[uwsgi.vars]\ntoken = ''",
	} {
		path := filepath.Join(t.TempDir(), "o.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadOperator(path, c); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Every bound follows from the platform's limits: all descriptors together stay under theirs.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		limits       string
		conns, calls int
		open, table  int
		memory       int64
	}{
		{`{"memory_mb":16,"sockets":384}`, 336, 16, 512, 4 << 20, 12 << 20},
		{`{"memory_mb":32,"sockets":384}`, 336, 16, 1024, 8 << 20, 24 << 20},
		{`{"memory_mb":64,"sockets":384}`, 336, 16, 2048, 16 << 20, 48 << 20},
		{`{"memory_mb":192,"sockets":1024}`, 976, 16, 4096, 48 << 20, 144 << 20},
		{`{}`, 976, 16, 4096, 48 << 20, 144 << 20},
	} {
		text := `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,"limits":` + c.limits +
			`,"settings":{"RequestClasses":[{"Name":"a"}],"FamilyInfo":{"Cpus":1}}}`
		p, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		l, b := p.Limits, p.Site.Bounds
		if l.Conns(0) != c.conns || l.Calls != c.calls || l.GoMemory() != c.memory || b != (core.Bounds{Sessions: c.conns - c.conns/8, Open: c.open, OpenBytes: c.table / 2, Table: c.table}) {
			t.Errorf("%s: %d connections, %+v, %+v", c.limits, l.Conns(0), l, b)
		}
	}
	if _, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,"limits":{"sockets":-1},"settings":{"RequestClasses":[{"Name":"a"}]}}`)); err == nil {
		t.Error("negative sockets were taken")
	}
}

// The kernel's limit of descriptors holds where the platform's is higher, for every bound; too low is an error.
func TestTheKernelsLimitHolds(t *testing.T) {
	parse := func(sockets int) *Config {
		c, err := Parse(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:2","seed":"1","stop_ms":100,"limits":{"sockets":%d},`+
			`"settings":{"RequestClasses":[{"Name":"a"}],"FamilyInfo":{"Cpus":6},"Safety":{"FallMultiple":8}}}`, sockets))
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for kernel, want := range map[uint64]int{128: 128, 1024: 1024, 1 << 20: 1024, 1<<64 - 1: 1024} {
		c := parse(1024)
		if err := c.Within(kernel); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(parse(want), c, cmp.AllowUnexported(core.Config{})); diff != "" {
			t.Errorf("%d: %s", kernel, diff)
		}
	}
	if err := parse(1024).Within(95); err == nil || strings.Contains(err.Error(), "\n") {
		t.Error(err)
	}
}

// All that is on stays under the limit of descriptors: what fits is as the operator's file says, what does not is
// lowered, and the platform's front keeps half.
func TestTheOperatorsPartsFit(t *testing.T) {
	for _, x := range []struct {
		sockets, others, conns, calls int // asked for; 0 = off
		wantConns, wantCalls, want    int
		lowered                       bool
	}{
		{1024, 32, 128, 128, 128, 128, 1024 - 32 - 16 - 32 - 256, false},
		{512, 32, 128, 0, 128, 0, 512 - 32 - 16 - 32 - 128, false},
		{128, 32, 128, 0, 24, 0, 24, true},
		{128, 0, 128, 128, 20, 20, 40, true},
		{96, 32, 128, 0, 1, 0, 16, true},
	} {
		l := Limits{Sockets: x.sockets, Calls: 16}
		o := &Operator{}
		if o.UWSGI.MaxConns = x.conns; x.conns > 0 {
			o.UWSGI.Listen = "127.0.0.1:1"
		}
		if o.UWSGI.MaxCalls = x.calls; x.calls > 0 {
			o.UWSGI.DownstreamServers = []string{"127.0.0.1:2"}
		}
		got, lowered := o.Fit(&l, x.others)
		if u := o.UWSGI; got != x.want || u.MaxConns != x.wantConns || u.MaxCalls != x.wantCalls || lowered != x.lowered {
			t.Errorf("%+v: %d, %d connections, %d calls, lowered %v", x, got, u.MaxConns, u.MaxCalls, lowered)
		}
		if sum := spareSockets + l.Calls + x.others + got + o.UWSGI.MaxConns + o.UWSGI.MaxCalls; sum > x.sockets && x.sockets > minSocks {
			t.Errorf("%+v: %d descriptors", x, sum)
		}
	}
}
