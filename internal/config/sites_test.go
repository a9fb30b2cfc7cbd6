package config

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"larchscale/control"
	"larchscale/internal/core"
)

// deployment is what a file of deploy/sites says and a process of it is told too.
type deployment struct {
	Rules struct {
		DrainGraceMs int     `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
	}
	Class []struct {
		Name       string
		AimMs      int `toml:"aim_ms"`
		DeadlineMs int `toml:"deadline_ms"`
		WindowMs   int `toml:"window_ms"`
		Worth      float64
		LateWorth  float64 `toml:"late_worth"`
		Effect     string
	}
	Tenant []struct {
		Name  string
		Share float64
	}
}

// What a process of each of our own deployments is told says what the deployment's file says, class by class, and every
// bound of the process follows from its limits.
func TestOurDeployments(t *testing.T) {
	effects := map[string]control.Effect{"safe": control.Safe, "keyed": control.Keyed, "unsafe": control.Unsafe}
	for name, want := range map[string]struct{ conns, calls, open int }{
		"ridge-lift-gates":    {512 - 32 - 28, 28, 2048}, // 4 cores, a crowd of 7 to each
		"tide-harbour-office": {128 - 32 - 25, 25, 1024}, // a fifth of the descriptors
	} {
		c, err := Load("testdata/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		var d deployment
		if _, err := toml.DecodeFile(filepath.Join("../../deploy/sites", name+".toml"), &d); err != nil {
			t.Fatal(err)
		}
		ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		k := &c.Site.Control
		if len(d.Class) != len(k.Classes) || len(d.Tenant) != len(k.Tenants) || k.DrainGrace != ms(d.Rules.DrainGraceMs) || k.Crowd != d.Rules.FallMultiple {
			t.Errorf("%s: %d classes, %d tenants, grace %v, crowd %v", name, len(k.Classes), len(k.Tenants), k.DrainGrace, k.Crowd)
			continue
		}
		for i, x := range d.Class {
			got := k.Classes[i]
			got.Calls = false // by the day
			if w := (control.Class{Aim: ms(x.AimMs), Deadline: ms(x.DeadlineMs), Window: ms(x.WindowMs), Worth: x.Worth, LateWorth: x.LateWorth, Effect: effects[x.Effect]}); got != w || c.Site.ClassIndex(x.Name) != i {
				t.Errorf("%s: %s is %+v at %d, want %+v", name, x.Name, got, c.Site.ClassIndex(x.Name), w)
			}
		}
		for i, x := range d.Tenant {
			if k.Tenants[i].Share != x.Share || c.Site.TenantIndex(x.Name) != i {
				t.Errorf("%s: %s is %+v at %d", name, x.Name, k.Tenants[i], c.Site.TenantIndex(x.Name))
			}
		}
		if l := c.Limits; l.Conns(0) != want.conns || l.Calls != want.calls ||
			c.Site.Bounds != (core.Bounds{Sessions: want.conns - want.conns/8, Open: want.open, OpenBytes: l.MemoryMB << 17, Table: l.MemoryMB << 18}) {
			t.Errorf("%s: %d connections, %+v, %+v", name, l.Conns(0), l, c.Site.Bounds)
		}
	}
}
