// Package settings turns the settings of an instance into the controller's configuration, for the
// simulator's adapter and the real app server alike.
package settings

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"time"

	"larchscale/control"
	"larchscale/internal/wire"
)

// What holds where the settings say nothing.
const (
	// of a class, as control.Class has it: due times, claims in a shared store and a handoff's end are counted from it too
	untoldDeadline = time.Minute
	// between two decisions: without one an answer would be given at its due time, and so be late by what it takes
	untoldQuantum = 5 * time.Millisecond
)

func usf(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }

// Config is what s, with the seed of one start, tells a controller.
func Config(s *wire.Settings, seed uint64) control.Config {
	f, l, q := &s.FamilyInfo, &s.Limits, &s.Safety
	c := control.Config{
		Seed: seed, Servers: s.Servers, Cores: f.Cpus, Callers: f.Upstreams,
		Cold: f.JustStarted, ColdFrom: q.ColdFrom, ColdFor: usf(q.ColdUs),
		Memory: f.MemoryKb, RunFactor: f.RunFactor, KeyMemory: f.KeyKb,
		Crowd: q.FallMultiple, CrowdFor: usf(q.FallUs),
		CallWindow: usf(f.DepWindowUs), CallLingers: usf(f.LingersUs), CallShare: f.CallsOut, CallsTier: f.Below == "tier",
		DrainGrace: usf(q.DrainGraceUs), Slack: usf(q.AnswerSlackUs),
		HeardFor: usf(f.HeardForUs), IdleMax: usf(f.KeepaliveMaxUs), Quantum: cmp.Or(usf(s.QuantumUs), untoldQuantum),
		HearsGone: f.HangupSeen, DearChecks: f.FullChecks, OverWorth: s.OverShareWorth,
	}
	if l.RetryAfter {
		c.MaxAdvice = usf(l.MaxRetryAfterUs)
	}
	switch f.Advert {
	case "level":
		c.Advert = control.AdvertLevel
	case "credit":
		c.Advert = control.AdvertCredit
	case "weight":
		c.Advert = control.AdvertWeight
	}
	switch f.Preemption {
	case "drop":
		c.Stopping = control.StopDrops
	case "pause":
		c.Stopping = control.StopHolds
	}
	for i, k := range s.RequestClasses {
		class := control.Class{Aim: usf(k.AimUs), Deadline: cmp.Or(usf(k.GiveUpUs), untoldDeadline), Window: usf(k.MemorySpanUs),
			Worth: k.Importance, LateWorth: k.LateWorth}
		switch k.Effect {
		case "by_key":
			class.Effect = control.Keyed
		case "once":
			class.Effect = control.Unsafe
		}
		if i < len(f.ClassCalls) {
			class.Calls = f.ClassCalls[i]
		}
		if i < len(f.ClassSkipWorth) {
			class.SkipWorth = f.ClassSkipWorth[i]
		}
		c.Classes = append(c.Classes, class)
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, control.Tenant{Share: t.Fraction, Quota: t.QuotaPerS})
	}
	return c
}

// Check tells what of s cannot be, naming the setting. A window on a class that is not keyed is no fault: the platform
// sends one for every class.
func Check(s *wire.Settings) error {
	f := &s.FamilyInfo
	for _, n := range []struct {
		key string
		len int
	}{{"ClassCalls", len(f.ClassCalls)}, {"ClassSkipWorth", len(f.ClassSkipWorth)}} {
		if n.len > len(s.RequestClasses) {
			return fmt.Errorf("settings: FamilyInfo.%s has %d entries for %d classes", n.key, n.len, len(s.RequestClasses))
		}
	}
	names := map[string]bool{}
	for i, k := range s.RequestClasses {
		bad := func(what string, value any) error {
			return fmt.Errorf("settings: RequestClasses[%d] %q: %s is %v", i, k.Name, what, value)
		}
		switch k.Effect {
		case "repeatable", "once", "":
		case "by_key":
			if !(k.MemorySpanUs > 0) { // guards against a write that runs again as soon as it has ended
				return bad("MemorySpanUs of a by_key class", k.MemorySpanUs)
			}
		default: // guards against a write that is taken for safe
			return bad("Effect", strconv.Quote(k.Effect))
		}
		if k.Name == "" || names[k.Name] {
			return bad("Name", "missing, or another class's too")
		}
		names[k.Name] = true
		calls := i < len(f.ClassCalls) && f.ClassCalls[i]
		if i < len(f.ClassSkipWorth) && f.ClassSkipWorth[i] > 0 && !calls {
			return bad("ClassSkipWorth without ClassCalls", f.ClassSkipWorth[i])
		}
		if calls && f.Below == "none" {
			return bad("ClassCalls with Below", "none")
		}
	}
	return nil
}

// Gauges names the readings that came in the order of names; what is missing is unknown.
func Gauges[F float32 | float64](names []string, values []F) control.Gauges {
	g := control.Gauges{CoreUse: math.NaN(), OnCores: math.NaN(), Memory: math.NaN(), Conns: math.NaN()}
	for i, name := range names[:min(len(names), len(values))] {
		v := float64(values[i])
		switch name {
		case "core_use":
			g.CoreUse = v
		case "on_cores":
			g.OnCores = v
		case "heap_share":
			g.Memory = v
		case "links":
			g.Conns = v
		}
	}
	return g
}
