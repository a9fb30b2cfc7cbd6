package capacity

import (
	"fmt"
	"slices"

	"larchscale/client/route"
	"larchscale/internal/link"
)

// The budgets of an app server, from the target.
const (
	serverControlCPU    = 1.3  // % of a core
	serverControlMemory = 128  // MB
	serverControlBytes  = 4    // KB/s, received and sent together
	serverDescriptors   = 512  // what the platform gives
	addedMilliseconds   = 1.6  // to 99 requests in 100
	configSeconds       = 11.0 // until a change is in force everywhere
	controlNodeCPU      = 100  // % of a core
)

// Rows are the model: what is counted, what is known to matter whether measured yet or not, and all else that is
// recorded.
func Rows(recording *Recording) []Row {
	rows := countedRows()
	names := expectedNames()
	for _, m := range recording.Measurements {
		if !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	for _, name := range names {
		rows = append(rows, measuredRow(name, recording.Find(name)))
	}
	return rows
}

func (r Row) within(most float64, why string) Row {
	r.Budget = Budget{most, why}
	return r
}

func (r Row) by(mechanism string) Row {
	r.Mechanism = mechanism
	return r
}

// countedRows follow from constants and functions of the code.
func countedRows() []Row {
	mesh := Count{"1 + (3+1)(n−1) + 8 + 3(n−1)", meshDescriptors}
	return []Row{
		counted("counted.mesh.descriptors", ServerControl, Descriptors, "mesh with takeover and kept replies", "descriptors", mesh,
			"`link.Options.Sockets`, `config` sets 3 connections a server").by("`link`, `fleet/post`").
			within(serverDescriptors, "the platform's 512, which callers' connections share"),
		counted("counted.fleet.descriptors", ServerControl, Descriptors, "mesh with the fleet alone", "descriptors",
			Count{"1 + 2(n−1) + 8 + (n−1)", fleetDescriptors}, "`link.Options.Sockets`").by("`link`").
			within(serverDescriptors, "the platform's 512, which callers' connections share"),
		counted("counted.peers.asked", ServerControl, Messages, "ledger requests a server asks, and as many it answers, each on a new connection", "requests/s",
			Count{"(n−1) / 10 s", peerRequests}, "`peers.Defaults().EveryMs`, `peers.ask` dials anew").by("`peers`, pull of digests"),
		counted("counted.peers.answer", ServerControl, Messages, "bytes of one answer of a ledger peer, which tells all that it has of all servers", "KB",
			Count{"n × 25 periods × bytes of a `ledger.Digest`", func(s Size) float64 { return peerAnswerBytes(s) / (1 << 10) }},
			"`peers.ServeHTTP`, `ledger.Peers.Digests`, `ledgerstore.Defaults().KeepPeriods`; every server has booked in each period").by("`peers`, pull of digests").
			within(link.MaxAnswer/(1<<10), "`link.MaxAnswer`: a longer answer is an error"),
		counted("counted.peers.bytes", ServerControl, Messages, "bytes of these answers, received and sent", "KB/s",
			Count{"2 (n−1) / 10 s × that", func(s Size) float64 { return peerBytes(s) / (1 << 10) }}, "the same").by("`peers`, pull of digests").
			within(serverControlBytes, "target, on an app server"),
		counted("counted.members.bytes", ServerControl, State, "members, leases and shards, held by every server", "KB",
			Count{"cbor of `consensus.State`, `lease.State`, `placement.State`", func(s Size) float64 { return membersBytes(s) / (1 << 10) }},
			"names of 11 bytes assumed").by("`fleet/consensus` snapshot"),
		counted("counted.leader.messages", Leader, Messages, "reports, heartbeats and their answers while nothing happens", "messages/s",
			Count{"3(n−1)", leaderMessages}, "`driver.reportEach`, `agree.learnerTicks`").by("`fleet/driver`, `fleet/consensus`"),
		counted("counted.leader.leases", Leader, Messages, "lease renewals and grants", "messages/s",
			Count{"2(n−1) / 0.3 s", leaseMessages}, "`lease.MeshTerms.Every`").by("`fleet/lease`, read index"),
		counted("counted.shards.imbalance", ServerControl, State, "shards of the fullest server over the mean", "×",
			Count{"⌈1,024/n⌉ / (1,024/n)", shardImbalance}, "`takeover.Shards`, `placement.Shards`").by("`fleet/placement`"),
		counted("counted.admissions", Fleet, Messages, "deliveries of entries until all are members", "messages",
			Count{"n(n−1)/2", admissions}, "`consensus.State.Knock`: one change at a time").by("`fleet/members` through the log"),
		counted("counted.trial.days", Fleet, State, "days until a trial's leader hears of no further process", "days",
			Count{"(4,096 − n) / restarts a day", trialDays}, "`trial.MaxLives`").by("`fleet/trial`"),
		counted("counted.config.files", Fleet, Messages, "files written and processes signalled for a day's changes", "a day",
			Count{"changes × n", func(s Size) float64 { return s.ConfigChanges * s.Servers }}, "SIGHUP in `cmd/larchscale` is the only way").by("none yet"),
		counted("counted.stats.bytes", RequestPath, Messages, "bytes of one answer of /stats", "KB",
			Count{"`admin.Lines` of the routes", func(s Size) float64 { return statsBytes(s) / (1 << 10) }}, "names of 24 bytes assumed").by("`admin`"),
		counted("counted.caller.connections", RequestPath, Descriptors, "connections of callers with the library's subset", "descriptors",
			Count{"callers × 8 / n", callerConnections}, "`route.Defaults().Subset`").by("`client/route`").
			within(serverDescriptors, "the platform's 512"),
		counted("counted.callers.all", RequestPath, Descriptors, "connections of callers that use every server", "descriptors",
			Count{"callers", func(s Size) float64 { return s.Callers }}, "one connection each").by("none yet: callers without the library").
			within(serverDescriptors, "the platform's 512"),
		counted("counted.library.servers", Caller, State, "servers that a caller keeps connections to", "servers",
			Count{"8", func(Size) float64 { return float64(route.Defaults().Subset) }}, "`route.Defaults().Subset`").by("`client/route`, rendezvous subset"),
		counted("counted.status.bytes", Operator, Messages, "bytes of the fleet's status, one answer", "KB",
			Count{"JSON of `driver.Status`", func(s Size) float64 { return statusBytes(s) / (1 << 10) }}, "names of 11 bytes assumed, no plans").
			by("`larchctl fleet`, GET of all").within(link.MaxAnswer/(1<<10), "`link.MaxAnswer`"),
	}
}

func counted(id string, role Role, aspect Aspect, quantity, unit string, count Count, source string) Row {
	return Row{ID: id, Role: role, Aspect: aspect, Quantity: quantity, Design: "counted", Unit: unit, Counted: &count, Source: source}
}

// findRow returns the row of an id.
func findRow(rows []Row, id string) (*Row, error) {
	i := slices.IndexFunc(rows, func(r Row) bool { return r.ID == id })
	if i < 0 {
		return nil, fmt.Errorf("no row %q", id)
	}
	return &rows[i], nil
}
