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
	"larchscale/internal/wire"
)

// Config is the platform's configuration of one app server.
type Config struct {
	Name   string
	Listen string
	Pool   string
	Lookup string // the directory; empty = not listed anywhere
	Index  string // calls below; empty = the last tier
	Site   core.Site
}

// Owner names this start of this server in the shared store: its seed is new with each start.
func (c *Config) Owner() string { return fmt.Sprintf("%s-%016x", c.Name, c.Site.Control.Seed) }

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

// Parse reads the text of config.json and checks it.
func Parse(text []byte) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, errors.New("not JSON")
	}
	j := gjson.ParseBytes(text)
	c := &Config{Name: j.Get("name").String(), Listen: j.Get("listen").String(), Pool: j.Get("pool").String(),
		Lookup: j.Get("lookup").String(), Index: j.Get("index").String()}
	if c.Name == "" {
		return nil, errors.New("name is missing")
	}
	for _, a := range []struct {
		field, addr string
		need        bool
	}{{"listen", c.Listen, true}, {"pool", c.Pool, true}, {"lookup", c.Lookup, false}, {"index", c.Index, false}} {
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
	c.Site = site(s, seed)
	c.Site.Stop = time.Duration(stop * float64(time.Millisecond))
	if len(c.Site.Classes) == 0 {
		return nil, errors.New("settings: no RequestClasses")
	}
	return c, checkControl(c.Site.Control)
}

// checkControl finds what the controller would not take, before anything is opened.
func checkControl(cfg control.Config) error {
	if err := cfg.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func site(s *wire.Settings, seed uint64) core.Site {
	out := core.Site{Control: settings.Config(s, seed), Gauges: s.FamilyInfo.OwnStats}
	for i, k := range s.RequestClasses {
		out.Classes = append(out.Classes, k.Name)
		out.Control.Classes[i].SkipWorth = 0 // the worker pool has no command that leaves out a call
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, t.Name)
	}
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
