package claimstore_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"larchscale/internal/standin"
)

var program string

func TestMain(m *testing.M) { os.Exit(standin.WithProgram(&program, m.Run)) }

// fleetTest is a fleet of real processes whose keyed requests are audited.
type fleetTest struct {
	*testing.T
	*standin.Fleet
	audit *standin.Audit
}

// startFleet starts servers in three zones, and waits until all are registered and each shard has two replicas.
func startFleet(t *testing.T, servers int, seed uint64, configure ...func(*standin.FleetOptions)) *fleetTest {
	t.Helper()
	options := standin.FleetOptions{Boxes: servers, Zones: 3, Voters: 5, DrainMs: 300, SilentMs: 1500,
		Work: 100 * time.Millisecond, Window: 3 * time.Second, TakeOver: true}
	for _, set := range configure {
		set(&options)
	}
	fleet, err := standin.NewFleet(program, t.TempDir(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	test := &fleetTest{T: t, Fleet: fleet}
	test.waitHealthy()
	test.audit = standin.NewAudit(fleet, seed,
		standin.Repeats{Within: max(8*time.Second, options.GiveUp-2*time.Second), Pause: 50 * time.Millisecond,
			Anywhere: true,
			Patience: 3 * time.Second})
	return test
}

// healthy reports whether the given number of servers are registered and every metric is healthy.
func (x *fleetTest) healthy(registered float64) bool {
	for _, server := range x.Members {
		metrics := server.Figures()
		if metrics["fleet.lives"] != registered || metrics["fleet.lease_ms"] == 0 || metrics["fleet.homes"] == 0 ||
			metrics["fleet.bare"] != 0 || metrics["keys.shut"] != 0 {
			return false
		}
	}
	return true
}

func (x *fleetTest) until(what string, timeout time.Duration, is func() bool) {
	x.Helper()
	if err := standin.Until(what, timeout, is); err != nil {
		x.fatal("%v", err)
	}
}

func (x *fleetTest) fatal(format string, a ...any) {
	x.Helper()
	text := fmt.Sprintf(format, a...)
	for _, server := range x.Members {
		text += fmt.Sprintf("\n%s %v\n%s", server.Name, server.Figures(), server.Log()[max(0, len(server.Log())-2500):])
	}
	x.Fatal(text)
}

// waitHealthy waits until all servers are registered, and each shard has two replicas in sync.
func (x *fleetTest) waitHealthy() {
	x.Helper()
	x.until("all servers are registered, and each shard has two replicas", 3*time.Minute,
		func() bool { return x.healthy(float64(len(x.Members))) })
}

// finish stops the callers and compares what they received with the pools: nothing ran twice, and what was served is the
// first result. Failures are counted by cause.
func (x *fleetTest) finish() standin.Account {
	x.Helper()
	x.audit.Stop()
	account := x.audit.Account()
	twice := account.Twice
	account.Twice = nil
	x.Logf("%+v, twice %d", account, len(twice))
	if len(twice) > 0 || account.Wrong > 0 || account.Served == 0 {
		text := ""
		for _, request := range twice {
			text += fmt.Sprintf("%+v\n", request)
		}
		x.fatal("%+v, twice:\n%s", account, text)
	}
	return account
}

// strike hits a server with keyed requests in flight. The returned check fails unless enough of them got their results.
func (x *fleetTest) strike(what string, server *standin.Member, count int, minShare float64, hit func()) (check func()) {
	began := time.Now()
	ended := x.audit.StrikeBy(server, count, hit)
	return func() {
		x.Helper()
		struck, survived := ended()
		x.Logf("%s: %d of %d requests in flight got their results, %.1f s", what, survived, struck, time.Since(began).Seconds())
		if struck < count/2 || float64(survived) < minShare*float64(struck) {
			x.fatal("%s: %d of %d requests in flight got their results", what, survived, struck)
		}
	}
}
