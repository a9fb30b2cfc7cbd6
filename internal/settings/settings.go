// Package settings converts the settings of an instance to the controller's configuration, both for the simulator's
// adapter and for the app server.
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

// Defaults for settings that are missing.
const (
	// Deadline of a class. Due times, claims in a shared store and the end of a handoff are also computed from it.
	defaultDeadline = time.Minute
	// Time between two decisions. If it were 0, an answer that is given at its due time would be late by the time
	// that the decision takes.
	defaultQuantum = 5 * time.Millisecond
)

// microseconds converts a number of microseconds to a duration.
func microseconds(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }

// Config returns the controller configuration for the settings s and the random seed of one start.
func Config(s *wire.Settings, seed uint64) control.Config {
	family, limits, safety := &s.FamilyInfo, &s.Limits, &s.Safety
	config := control.Config{
		Seed: seed, Servers: s.Servers, Cores: family.Cpus, Callers: family.Upstreams,
		Cold: family.JustStarted, ColdFrom: safety.ColdFrom, ColdFor: microseconds(safety.ColdUs),
		Memory: family.MemoryKb, RunFactor: family.RunFactor, KeyMemory: family.KeyKb,
		Crowd: safety.FallMultiple, CrowdFor: microseconds(safety.FallUs),
		CallWindow: microseconds(family.DepWindowUs), CallLingers: microseconds(family.LingersUs),
		CallShare: family.CallsOut, DownstreamSheds: family.Below == "tier",
		DrainGrace: microseconds(safety.DrainGraceUs), Slack: microseconds(safety.AnswerSlackUs),
		HeardFor: microseconds(family.HeardForUs), IdleMax: microseconds(family.KeepaliveMaxUs),
		Quantum:         cmp.Or(microseconds(s.QuantumUs), defaultQuantum),
		ReportsCanceled: family.HangupSeen, ExpensiveChecks: family.FullChecks, OverWorth: s.OverShareWorth,
	}
	if limits.RetryAfter {
		config.MaxAdvice = microseconds(limits.MaxRetryAfterUs)
	}
	switch family.Advert {
	case "level":
		config.Advert = control.AdvertLevel
	case "credit":
		config.Advert = control.AdvertCredit
	case "weight":
		config.Advert = control.AdvertWeight
	}
	switch family.Preemption {
	case "drop":
		config.Stopping = control.StopRequeues
	case "pause":
		config.Stopping = control.StopPauses
	}
	for i, request := range s.RequestClasses {
		class := control.Class{Aim: microseconds(request.AimUs),
			Deadline: cmp.Or(microseconds(request.GiveUpUs),
				defaultDeadline), Window: microseconds(request.MemorySpanUs),
			Worth: request.Importance, LateWorth: request.LateWorth}
		switch request.Effect {
		case "by_key":
			class.Effect = control.Keyed
		case "once":
			class.Effect = control.Unsafe
		}
		if i < len(family.ClassCalls) {
			class.Calls = family.ClassCalls[i]
		}
		if i < len(family.ClassSkipWorth) {
			class.SkipWorth = family.ClassSkipWorth[i]
		}
		config.Classes = append(config.Classes, class)
	}
	for _, tenant := range s.Tenants {
		config.Tenants = append(config.Tenants, control.Tenant{Share: tenant.Fraction, Quota: tenant.QuotaPerS})
	}
	return config
}

// Validate returns an error that names the first invalid setting in s. A window on a class that is not keyed is valid:
// the platform sends one for every class.
func Validate(s *wire.Settings) error {
	family := &s.FamilyInfo
	for _, list := range []struct {
		key string
		len int
	}{{"ClassCalls", len(family.ClassCalls)}, {"ClassSkipWorth", len(family.ClassSkipWorth)}} {
		if list.len > len(s.RequestClasses) {
			return fmt.Errorf("settings: FamilyInfo.%s has %d entries for %d classes", list.key, list.len,
				len(s.RequestClasses))
		}
	}
	names := map[string]bool{}
	for i, class := range s.RequestClasses {
		invalid := func(setting string, value any) error {
			return fmt.Errorf("settings: RequestClasses[%d] %q: %s is %v", i, class.Name, setting, value)
		}
		switch class.Effect {
		case "repeatable", "once", "":
		case "by_key":
			if !(class.MemorySpanUs > 0) { // otherwise a write could run again as soon as it has ended
				return invalid("MemorySpanUs of a by_key class", class.MemorySpanUs)
			}
		default: // an unknown effect must not be taken for safe
			return invalid("Effect", strconv.Quote(class.Effect))
		}
		if class.Name == "" || names[class.Name] {
			return invalid("Name", "missing or used by another class")
		}
		names[class.Name] = true
		calls := i < len(family.ClassCalls) && family.ClassCalls[i]
		if i < len(family.ClassSkipWorth) && family.ClassSkipWorth[i] > 0 && !calls {
			return invalid("ClassSkipWorth without ClassCalls", family.ClassSkipWorth[i])
		}
		if calls && family.Below == "none" {
			return invalid("ClassCalls with Below", "none")
		}
	}
	return nil
}

// Gauges assigns readings to gauges by the names at the same positions; a missing gauge is unknown (NaN).
func Gauges[F float32 | float64](names []string, values []F) control.Gauges {
	gauges := control.Gauges{CoreUse: math.NaN(), OnCores: math.NaN(), Memory: math.NaN(), Conns: math.NaN()}
	for i, name := range names[:min(len(names), len(values))] {
		value := float64(values[i])
		switch name {
		case "core_use":
			gauges.CoreUse = value
		case "on_cores":
			gauges.OnCores = value
		case "heap_share":
			gauges.Memory = value
		case "links":
			gauges.Conns = value
		}
	}
	return gauges
}
