package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"larchscale/client/route"
	"larchscale/internal/admin"
	"larchscale/internal/core"
	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/forecast"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/placement"
	"larchscale/internal/fleet/takeover"
	"larchscale/internal/fleet/trial"
	"larchscale/internal/ledger"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/link"
	"larchscale/internal/peers"
	"larchscale/internal/sequential"
)

// linkServers is link's bound on the other servers that a file may name; Options.Check applies it.
const linkServers = 300

// meshConnections is the connections to each other server when in-flight takeover and kept replies are on.
const meshConnections = 3

// reportsPerSecond is how often a server reports to each voter (fleet/driver: reportEach ticks of 100 ms).
const reportsPerSecond = 1

// learnerHeartbeatsPerSecond is how often the leader sends each learner a heartbeat (fleet/agree: learnerTicks).
const learnerHeartbeatsPerSecond = 1

// nameBytes is the length of a route's name that the counts of /stats assume.
const nameBytes = 24

// Bounds are the constants in the code that end the growth of the fleet.
func Bounds() []Bound {
	return []Bound{
		{"link.maxBoxes", "internal/link/link.go", linkServers + 1, "servers", "the operator's file is refused, and the program does not start"},
		{"maintenance.MaxBoxes", "internal/fleet/maintenance/state.go", maintenance.MaxBoxes, "servers", "a server that joins is refused"},
		{"lease.MaxBoxes", "internal/fleet/lease/state.go", lease.MaxBoxes, "servers", "a server gets no lease"},
		{"placement.MaxBoxes", "internal/fleet/placement/state.go", placement.MaxBoxes, "servers", "a server is not placed on"},
		{"forecast.MaxBoxes", "internal/fleet/forecast/sketch.go", forecast.MaxBoxes, "servers", "the sketch of a further server is refused"},
		{"sequential.MaxBoxes", "internal/sequential/sequential.go", sequential.MaxBoxes, "servers", "trials are ended as void more often than their plan allows"},
		{"trial.MaxHeard", "internal/fleet/trial/count.go", (trial.MaxHeard - trial.MaxKept) / trial.MaxBlocks, "servers", "reports to a trial in its last blocks are refused"},
		{"takeover.Shards, placement.Shards", "internal/fleet/takeover/hand.go, internal/fleet/placement/state.go", takeover.Shards, "servers", "servers without a shard"},
		{"route.MaxMembers", "client/route/route.go", route.MaxMembers, "servers", "callers do not know further servers"},
		{"ledger.MaxNames", "internal/ledger/book.go", ledger.MaxNames, "tenants", "a server with a ledger does not start"},
		{"ledger.MaxNames", "internal/ledger/book.go", ledger.MaxNames, "routes", "a server with a ledger does not start"},
	}
}

// otherServers names n other servers, as an operator's file does.
func otherServers(n int) []string {
	return make([]string, n)
}

// meshDescriptors is the descriptors of a server's link to all others.
func meshDescriptors(s Size) float64 {
	options := link.Options{Listen: "127.0.0.1:1", Servers: otherServers(max(0, int(s.Servers)-1)), ConnsPerServer: meshConnections}
	return float64(options.Descriptors())
}

// fleetDescriptors is the same with one connection to each: neither takeover nor kept replies.
func fleetDescriptors(s Size) float64 {
	options := link.Options{Listen: "127.0.0.1:1", Servers: otherServers(max(0, int(s.Servers)-1)), ConnsPerServer: 1}
	return float64(options.Descriptors())
}

// peerRequests is the requests a second that one server makes of the others' ledgers; it answers as many.
func peerRequests(s Size) float64 {
	return (s.Servers - 1) / (float64(peers.Defaults().EveryMs) / 1000)
}

// peerAnswerBytes is one answer of a ledger peer: the digests of all that it has of all servers.
func peerAnswerBytes(s Size) float64 {
	periods := ledgerstore.Defaults().KeepPeriods + 1
	return ledgerDigestBytes() * float64(periods) * s.Servers
}

// peerBytes is the bytes a second of answers that one server receives from its ledger peers, and sends as well.
func peerBytes(s Size) float64 { return 2 * peerRequests(s) * peerAnswerBytes(s) }

// leaderMessages is what the leader receives and sends a second while nothing happens: a report from each server, a
// heartbeat to each learner and its answer.
func leaderMessages(s Size) float64 {
	return (s.Servers - 1) * (reportsPerSecond + 2*learnerHeartbeatsPerSecond)
}

// leaseMessages is the renewals and grants a second at the leader, with in-flight takeover.
func leaseMessages(s Size) float64 {
	return 2 * (s.Servers - 1) / lease.MeshTerms.RenewInterval.Seconds()
}

// admissions is the deliveries of entries that let all servers in one after the other: each goes to all there are.
func admissions(s Size) float64 { return s.Servers * (s.Servers - 1) / 2 }

// callerConnections is the connections of callers to one server, with the subset of the caller's library.
func callerConnections(s Size) float64 {
	return s.Callers * float64(min(route.Defaults().Subset, int(s.Servers))) / s.Servers
}

// shardImbalance is the shards of the fullest server over the mean, where they are spread as evenly as can be.
func shardImbalance(s Size) float64 {
	mean := takeover.Shards / s.Servers
	return math.Ceil(mean) / mean
}

// trialDays is how long a trial runs until its leader refuses reports, as each restart of a server is a life more.
func trialDays(s Size) float64 { return (trial.MaxLives - s.Servers) / s.Restarts }

// membersBytes is the agreed state of members, leases and placement, as a snapshot has it.
func membersBytes(s Size) float64 {
	n := int(s.Servers)
	members := consensus.State{Members: make([]consensus.Member, n)}
	leases := lease.State{Boxes: make([]lease.Server, n)}
	placement := placement.State{Boxes: make([]string, n), Homes: &placement.Assignment{}}
	for i := range n {
		name := fmt.Sprintf("server-%04d", i)
		members.Members[i] = consensus.Member{ID: math.MaxUint64 - uint64(i), Name: name, Zone: "zone-1", Addr: "10.123.123.123:4567"}
		leases.Boxes[i] = lease.Server{Name: name, Zone: "zone-1", Incarnation: 1000, Life: 1_000_000, Index: 1_000_000, Pool: "10.123.123.123:4567"}
		placement.Boxes[i] = name
	}
	total := 0
	for _, state := range []any{&members, &leases, &placement} {
		data, err := cbor.Marshal(state)
		if err != nil {
			panic(err) // plain structs
		}
		total += len(data)
	}
	return float64(total)
}

// statusBytes is the answer to an operator who asks how the fleet stands, in plain JSON.
func statusBytes(s Size) float64 {
	n := int(s.Servers)
	status := driver.Status{Members: make([]consensus.Member, n), Reports: map[string]maintenance.Report{}}
	status.Boxes = make([]maintenance.Server, n)
	for i := range n {
		name := fmt.Sprintf("server-%04d", i)
		status.Members[i] = consensus.Member{ID: math.MaxUint64 - uint64(i), Name: name, Zone: "zone-1", Addr: "10.123.123.123:4567"}
		status.Boxes[i] = maintenance.Server{Name: name, Zone: "zone-1"}
		status.Reports[name] = maintenance.Report{Incarnation: 1000, Heard: 1_790_000_000_000, Capacity: 123.456, Load: 108.123, Warm: true, Open: 10}
	}
	data, err := json.Marshal(status)
	if err != nil {
		panic(err) // plain structs
	}
	return float64(len(data))
}

// statsBytes is one answer of /stats.
func statsBytes(s Size) float64 {
	routes := make([]string, int(s.Routes))
	for i := range routes {
		routes[i] = strings.Repeat("r", nameBytes)
	}
	counts := make([]uint64, len(routes))
	for i := range counts {
		counts[i] = 1_000_000
	}
	return float64(len(admin.Lines(routes, &core.Metrics{OK: counts, Shed: counts, Errors: counts, Tries: counts})))
}
