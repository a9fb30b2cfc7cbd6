package membership_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"larchscale/internal/fleet/placement"
	"larchscale/internal/standin"
)

var program string

func TestMain(m *testing.M) { os.Exit(standin.WithProgram(&program, m.Run)) }

// Real processes: each registers and holds a lease, and every shard has two replicas. A killed server expires once its
// lease has ended. A server that is stopped and continued finds its lease ended, and registers under a new token.
func TestRegistrationsLeasesAndReplicasOfRealProcesses(t *testing.T) {
	fleet, err := standin.NewFleet(program, t.TempDir(),
		standin.FleetOptions{Boxes: 5, Zones: 3, Voters: 5, DrainMs: 300, SilentMs: 1500, TakeOver: true})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	metric := func(server *standin.Member, name string) float64 { return server.Figures()["fleet."+name] }
	wait := func(what string, timeout time.Duration, is func() bool) {
		t.Helper()
		if err := standin.Until(what, timeout, is); err != nil {
			text := ""
			for _, server := range fleet.Members {
				text += fmt.Sprintf("\n%s %v\n%s", server.Name, server.Figures(), server.Log()[max(0, len(server.Log())-1500):])
			}
			t.Fatalf("%v%s", err, text)
		}
	}
	all := func(list []*standin.Member, is func(*standin.Member) bool) func() bool {
		return func() bool {
			for _, server := range list {
				if !is(server) {
					return false
				}
			}
			return true
		}
	}
	healthy := func(lives float64) func(*standin.Member) bool {
		return func(server *standin.Member) bool {
			metrics := server.Figures()
			return metrics["fleet.lives"] == lives && metrics["fleet.lease_ms"] > 0 && metrics["fleet.bare"] == 0 &&
				metrics["fleet.homes"] > placement.Shards/8
		}
	}
	wait("all servers are registered, and each shard has two replicas", 20*time.Second, all(fleet.Members, healthy(5)))
	leader := fleet.Leader()
	var followers []*standin.Member
	for _, server := range fleet.Members {
		if server != leader {
			followers = append(followers, server)
		}
	}
	killed, stopped := followers[0], followers[1]
	began := time.Now()
	killed.Kill()
	wait("a killed server expires", 5*time.Second,
		all(followers[1:], func(server *standin.Member) bool { return metric(server, "lives") == 4 }))
	if took := time.Since(began); took < 1500*time.Millisecond {
		t.Errorf("expired after %v: its lease was not waited for", took)
	}
	token := metric(stopped, "life")
	stopped.Freeze(true)
	wait("a stopped server expires", 5*time.Second,
		all(followers[2:], func(server *standin.Member) bool { return metric(server, "lives") == 3 }))
	if err := killed.Start(); err != nil {
		t.Fatal(err)
	}
	stopped.Freeze(false)
	wait("both are registered again", 10*time.Second, all(fleet.Members, healthy(5)))
	if now := metric(stopped, "life"); now <= token {
		t.Errorf("it is registered under token %v, and was under %v before it expired", now, token)
	}
	leader.Kill()
	wait("the next leader declares the killed one expired", 8*time.Second,
		all(followers, func(server *standin.Member) bool { return metric(server, "lives") == 4 }))
}
