// Package config reads what an app server is told: the platform's config.json and the operator's TOML.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"larchscale/control"
	"larchscale/internal/core"
	"larchscale/internal/settings"
	"larchscale/internal/sock"
	"larchscale/internal/wire"
)

// Config is the platform's configuration of one app server.
type Config struct {
	Name   string
	Listen string
	Pool   string
	Lookup string // the directory; empty = not listed anywhere
	Index  string // calls below; empty = the last tier
	Admin  string // the operators' door; empty = none
	Site   core.Config
	Limits Limits
}

// Limits are the platform's, and what they leave for each part.
type Limits struct {
	MemoryMB, Sockets int
	Calls             int // connections to the index
}

const (
	spareSockets = 32 // for the links, the store, the listeners and the runtime's own
	defaultMB    = 192
	defaultSocks = 1024
	minSocks     = 96
	leastConns   = 16 // clients of the platform's front, whatever else is on
)

// GoMemory is what the Go runtime is told to keep to; the rest is for what it does not count.
func (l *Limits) GoMemory() int64 { return int64(l.MemoryMB) << 20 * 3 / 4 }

// HomeBytes is what a box keeps of keyed work as a home in its fleet.
func (l *Limits) HomeBytes() int64 { return int64(l.MemoryMB) << 20 / 8 }

// KeptBytes bounds the replies of calls below that a box keeps: a sixteenth of its memory.
func (l *Limits) KeptBytes() int64 { return int64(l.MemoryMB) << 20 / 16 }

// KeyFiles bounds the bytes of keys in $TMPDIR, which counts as memory: a sixteenth of it.
func (l *Limits) KeyFiles() int64 { return int64(l.MemoryMB) << 20 / 16 }

// Budget bounds what waits to be written to the clients of one front. A balancer has 32 answers open at
// most, each under 6 KB; two of them always find room.
func (l *Limits) Budget() *sock.Budget {
	return &sock.Budget{PerPeer: 32 * 6 << 10, Total: l.MemoryMB << 20 / 8, Guaranteed: 12 << 10}
}

// Conns is how many clients of the platform's front are served at a time, beside others descriptors.
func (l *Limits) Conns(others int) int {
	return max(leastConns, l.Sockets-spareSockets-l.Calls-others)
}

// Load reads config.json.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// Reload reads config.json again, whole. What a running server cannot change must be as it was: of the rest
// only the addresses of its links may differ.
func (c *Config) Reload(path string) (*Config, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	if next.Name != c.Name || next.Listen != c.Listen {
		return nil, fmt.Errorf("config: %s: it is for %s at %s; start anew for that", path, next.Name, next.Listen)
	}
	return next, nil
}

// SetAdmin names the operators' door from $BALANCER_ADMIN, which wins over config.json; "" keeps the file's.
func (c *Config) SetAdmin(addr string) error {
	if addr == "" {
		return nil
	}
	if err := checkAddr(addr); err != nil {
		return fmt.Errorf("BALANCER_ADMIN: %w", err)
	}
	c.Admin = addr
	return nil
}

// Parse reads the text of config.json and checks it.
func Parse(text []byte) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not JSON")
	}
	j := gjson.ParseBytes(text)
	c := &Config{Name: j.Get("name").String(), Listen: j.Get("listen").String(), Pool: j.Get("pool").String(),
		Lookup: j.Get("lookup").String(), Index: j.Get("index").String(), Admin: j.Get("admin").String()}
	if c.Name == "" {
		return nil, errors.New("name is missing")
	}
	for _, a := range []struct {
		field, addr string
		need        bool
	}{{"listen", c.Listen, true}, {"pool", c.Pool, true}, {"lookup", c.Lookup, false}, {"index", c.Index, false},
		{"admin", c.Admin, false}} {
		if a.addr == "" && !a.need {
			continue
		}
		if err := checkAddr(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	stop := j.Get("stop_ms").Float()
	if !(stop > 0 && stop < 1e9) {
		return nil, fmt.Errorf("stop_ms is %v", j.Get("stop_ms"))
	}
	seed, err := strconv.ParseUint(j.Get("seed").String(), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if !j.Get("settings").IsObject() {
		return nil, errors.New("settings is missing")
	}
	s, err := wire.ParseSettings([]byte(j.Get("settings").Raw))
	if err != nil {
		return nil, err
	}
	if err := settings.Validate(s); err != nil {
		return nil, err
	}
	c.Site = site(s, seed)
	c.Site.StopTime = time.Duration(stop * float64(time.Millisecond))
	if len(c.Site.Classes) == 0 {
		return nil, errors.New("settings: no RequestClasses")
	}
	if err := c.limit(j.Get("limits")); err != nil {
		return nil, err
	}
	return c, checkControl(c.Site.Control)
}

// limit reads the limits.
func (c *Config) limit(j gjson.Result) error {
	mb, socks := float64(defaultMB), float64(defaultSocks)
	if v := j.Get("memory_mb"); v.Exists() {
		mb = v.Float()
	}
	if v := j.Get("sockets"); v.Exists() {
		socks = v.Float()
	}
	if !(mb >= 16 && mb <= 1<<20) || !(socks >= 0 && socks <= 1<<20) {
		return fmt.Errorf("limits: %v MB and %v sockets", mb, socks)
	}
	c.Limits.MemoryMB, c.Limits.Sockets = int(mb), int(socks)
	return c.bound()
}

// Within lowers the platform's limit of descriptors to that of the kernel for this process, and every bound with it.
// Guards against clients that hold what the links need, where the platform says more than the kernel gives.
// Under 96 descriptors the program cannot do.
func (c *Config) Within(kernel uint64) error {
	if uint64(c.Limits.Sockets) <= kernel {
		return nil
	}
	c.Limits.Sockets = int(kernel)
	return c.bound()
}

// bound derives every bound from the limits.
func (c *Config) bound() error {
	l, k := &c.Limits, &c.Site.Control
	if l.Sockets < minSocks {
		return fmt.Errorf("limits: %d sockets, at least %d are needed", l.Sockets, minSocks)
	}
	l.Calls = min(max(16, int(k.Crowd*float64(max(1, k.Cores)))), l.Sockets/5)
	c.Site.Bounds = core.Bounds{Open: min(4096, l.MemoryMB*32), OpenBytes: l.MemoryMB << 20 / 8, Table: l.MemoryMB << 20 / 4}
	c.SetConns(l.Conns(0))
	return nil
}

// SetConns has the core keep an eighth of a front's connections free for newcomers.
func (c *Config) SetConns(n int) { c.Site.Bounds.Sessions = n - n/8 }

// checkControl finds what the controller would not take, before anything is opened.
func checkControl(cfg control.Config) error {
	if err := cfg.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func site(s *wire.Settings, seed uint64) core.Config {
	out := core.Config{Control: settings.Config(s, seed), Gauges: s.FamilyInfo.OwnStats}
	out.Control.KeyMemory = 0 // on sockets keys lie in this process's memory, not in the site's
	for _, k := range s.RequestClasses {
		out.Classes = append(out.Classes, k.Name)
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, t.Name)
	}
	out.IndexNames()
	return out
}

func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no address", addr)
	}
	return nil
}
