package capacity

import (
	"slices"
	"strings"
)

// The designs of a control plane. Rows of the same quantities exist for each, so that the page compares them.
const (
	designLearner = "learner" // every app server is a raft learner
	designLeases  = "learner.leases"
	designSession = "session" // control nodes, and a session of each app server
)

var designs = []string{designLeases, designLearner, designSession} // a longer name before its beginning

// mechanisms are how the designs carry what a role does.
var mechanisms = map[string]map[Role]string{
	designLearner: {
		ServerControl: "`fleet/consensus` raft learner, `fleet/driver` reports",
		Leader:        "`fleet/consensus` raft leader",
		Follower:      "`fleet/consensus` raft follower",
		Fleet:         "`fleet/consensus`, `fleet/driver`",
	},
	designLeases: {
		ServerControl: "the same and `fleet/lease` renewals",
		Leader:        "the same and `fleet/lease` read index",
		Follower:      "the same and `fleet/lease`",
		Fleet:         "the same and `fleet/lease`",
	},
	designSession: {
		ServerControl: "`fleet/controlclient`: `fleet/session.Client` and `fleet/watch.View` over `fleet/stream`",
		Leader:        "`fleet/controlnode`: raft leader of the control nodes, `fleet/session.Collector`, sessions of its own",
		Follower:      "`fleet/controlnode`: raft follower, `fleet/session.Table`, a `fleet/watch.Reader` for each session",
		Fleet:         "`fleet/controlnode`: `fleet/configuration`, `fleet/watch`",
	},
}

// quantity is what the end of a measurement's name stands for.
type quantity struct {
	suffix string
	aspect Aspect
	text   string
	unit   string // that the page uses; "" = the measurement's
	times  *Count // of what is measured for each, in a second; nil = it is not for each of something
}

// What processor time is spent on each of.
var (
	requestsPerServer = Count{"requests/s a server", Size.RequestsPerServer}
	ledgerAsked       = Count{"(n−1) / 10 s", peerRequests}
)

// quantities are looked through in their order: the first suffix that ends a name, or stands in it as a whole part,
// describes it.
var quantities = []quantity{
	{"change.cpu", Processor, "of a change of configuration at 20 a second", "", nil},
	{"entry.cpu", Processor, "of an entry of the log", "", nil},
	{"entry.messages", Messages, "for an entry of the log", "", nil},
	{"entry.bytes", Messages, "bytes for an entry of the log", "", nil},
	{"connection.bytes", Messages, "bytes on the connections of one measurement, as the program or the kernel counts them", "", nil},
	{"build.time", Time, "first start of all at once, until all are members", "s", nil},
	{"build.cpu", Processor, "of all servers, until all are members", "", nil},
	{"build.entries", Messages, "entries of the log until all are members", "", nil},
	{"build.bytes", Messages, "bytes sent until all are members", "MB", nil},
	{"lost", State, "leases lost by servers that were neither cut off nor ended", "", nil},
	{"config.killed", Time, "a change in force while that control node is killed", "s", nil},
	{"config.single", Time, "a change in force everywhere, the slowest of a few one by one", "s", nil},
	{"config.agreed", Time, "a change agreed, 99th percentile of changes", "s", nil},
	{"config.p50", Time, "a change in force everywhere, median of changes", "s", nil},
	{"elected", Time, "until there is another leader", "s", nil},
	{"served", Time, "until all servers were granted leases again", "s", nil},
	{"settled", Time, "until all servers have sessions, leases and one configuration", "s", nil},
	{"config.p99", Time, "a change in force everywhere, 99th percentile of changes", "s", nil},
	{"config.max", Time, "a change in force everywhere, the slowest", "s", nil},
	{"failover", Time, "until replaced", "s", nil},
	{"added.keyed.p99", Time, "added to a keyed request, 99th percentile", "ms", nil},
	{"added.p99", Time, "added to a request, 99th percentile", "ms", nil},
	{"added.p50", Time, "added to a request, median", "ms", nil},
	{"added", Time, "added to a request", "ms", nil},
	{"total", Time, "of a request, as its caller sees it", "ms", nil},
	{"bare", Time, "of the same without the program", "ms", nil},
	{"sender", Time, "lateness of the sends", "ms", nil},
	{"cpu.request", Processor, "of requests", "% of a core", &requestsPerServer},
	{"cpu.asked", Processor, "of ledger requests asked and answered, each on a new connection", "% of a core", &ledgerAsked},
	{"list.time", Time, "of a new list, one server more or less", "us", nil},
	{"pick.time", Time, "of choosing a server for a request", "us", nil},
	{"status.time", Time, "of the fleet's status", "s", nil},
	{"config.time", Time, "of a change, until accepted", "s", nil},
	{"ledger.starts", Time, "whether a server with a ledger starts, 1 = yes", "", nil},
	{"start", Time, "start until served", "s", nil},
	{"reload", Time, "reload on SIGHUP", "s", nil},
	{"stats.time", Time, "of one answer of /stats", "ms", nil},
	{"stats.bytes", Messages, "bytes of one answer of /stats", "KB", nil},
	{"messages.in", Messages, "in", "messages/s", nil},
	{"messages.out", Messages, "out", "messages/s", nil},
	{"bytes.in", Messages, "bytes in", "KB/s", nil},
	{"bytes.out", Messages, "bytes out", "KB/s", nil},
	{"in", Messages, "in, by path", "messages/s", nil},
	{"messages", Messages, "both ways", "messages/s", nil},
	{"link.bytes", Messages, "of these between control nodes", "KB/s", nil},
	{"bytes", Messages, "bytes both ways", "KB/s", nil},
	{"more.rss", Memory, "resident, more than without a session", "MB", nil},
	{"rss", Memory, "resident, of the whole process", "MB", nil},
	{"heap", Memory, "live heap", "MB", nil},
	{"descriptors", Descriptors, "open", "descriptors", nil},
	{"goroutines", Memory, "goroutines", "", nil},
	{"disk", Disk, "written", "KB/s", nil},
	{"cpu.connect", Processor, "of a new connection and its health check", "us", nil},
	{"cpu.uwsgi", Processor, "of a request to the uwsgi front", "us", nil},
	{"unserved", Messages, "requests refused, failed or lost", "", nil},
	{"connections.kept", Descriptors, "connections kept, of more than the limit of descriptors", "", nil},
	{"cpu", Processor, "at rest", "% of a core", nil},
}

// expectedNames are the measurements that the page waits for: they have rows before there is a record.
func expectedNames() []string {
	names := []string{"path.added.p99", "path.added.keyed.p99", "path.cpu.request", "path.cpu.request.tenant",
		"path.cpu.request.class", "path.rss.connection", "path.rss.tenant", "path.rss.class", "path.start.tenant",
		"path.start.class", "path.reload.tenant", "path.reload.class", "path.stats.bytes", "path.stats.time", "path.ledger.starts",
		"path.cpu.connect", "path.cpu.uwsgi.class", "path.cpu.uwsgi.connection",
		"pathbefore.cpu.request.tenant", "pathbefore.cpu.request.class", "pathbefore.cpu.connect", "pathbefore.cpu.uwsgi.class", "pathbefore.cpu.uwsgi.connection"}
	for _, server := range []string{designLearner + ".server", designLeases + ".server", designSession + ".server"} {
		names = append(names, server+".cpu", server+".rss", server+".bytes", server+".messages", server+".descriptors")
	}
	for _, design := range []string{designLearner, designLeases, designSession} {
		for _, node := range []string{".leader", ".follower"} {
			for _, what := range []string{".cpu", ".rss", ".messages", ".bytes", ".bytes.in", ".bytes.out", ".descriptors", ".disk"} {
				names = append(names, design+node+what)
			}
		}
		names = append(names, design+".build.time", design+".build.cpu")
	}
	return append(names, "session.config.p99", "session.config.max", "session.failover.leader", "session.failover.follower",
		"ledger.server.cpu.asked", "caller.heap", "caller.list.time", "caller.pick.time", "caller.cpu.request", "caller.bytes", "operator.status.time", "operator.config.time")
}

// measuredRow is the row of a measurement, by its name; m = nil when it is not measured.
func measuredRow(name string, m *Measurement) Row {
	design, rest := splitDesign(name)
	role := roleOf(design, rest)
	row := Row{ID: name, Role: role, Design: design, Mechanism: mechanismOf(design, role), Measurement: name}
	what := quantityOf(rest)
	row.Aspect, row.Quantity, row.Unit = what.aspect, what.text, what.unit
	if m != nil {
		row.Unit = pageUnit(what, m.Unit)
		if row.Quantity == "" {
			row.Quantity = m.Note
		}
	}
	if row.Unit == what.unit {
		row.Times = what.times
	}
	row.Budget = budgetOf(&row, rest)
	if rest == "added.p99" || rest == "added.keyed.p99" {
		row.Floor = design + ".bare.p99"
	}
	return row
}

// splitDesign splits a name into its design and the rest.
func splitDesign(name string) (design, rest string) {
	for _, d := range designs {
		if after, ok := strings.CutPrefix(name, d+"."); ok {
			return d, after
		}
	}
	design, rest, _ = strings.Cut(name, ".")
	return design, rest
}

// roleOf tells the role that spends what a name stands for.
func roleOf(design, rest string) Role {
	part, _, _ := strings.Cut(rest, ".")
	switch {
	case strings.HasSuffix(design, "before"):
		return Superseded
	case design == "path":
		return RequestPath
	case design == "caller" || part == "caller":
		return Caller
	case design == "operator" || part == "operator":
		return Operator
	case part == "leader":
		return Leader
	case part == "follower":
		return Follower
	case slices.Contains([]string{"server", "learner", "shared"}, part):
		return ServerControl
	}
	return Fleet
}

func mechanismOf(design string, role Role) string {
	if of, ok := mechanisms[design]; ok {
		return of[role]
	}
	switch role {
	case ServerControl:
		return "`peers`, `link`"
	case RequestPath, Superseded:
		return "`core`, `jsonrpc`, `uwsgi`, `admin`"
	case Caller:
		return "`client`, `client/route`"
	case Operator:
		return "`larchctl`"
	}
	return ""
}

// quantityOf finds what a name without its design stands for.
func quantityOf(rest string) quantity {
	framed := "." + rest + "."
	for _, q := range quantities {
		if strings.Contains(framed, "."+q.suffix+".") {
			return q
		}
	}
	return quantity{}
}

// pageUnit is the unit that the page uses, as long as the measurement's can be converted to it. Time spent on each
// request becomes a part of a core with the requests a second.
func pageUnit(what quantity, measured string) string {
	if what.unit == "" {
		return measured
	}
	if what.times != nil {
		measured += "/s"
	}
	if _, err := unitFactor(measured, what.unit); err != nil {
		return strings.TrimSuffix(measured, "/s")
	}
	return what.unit
}

// budgetOf is the target's budget of a row: on an app server for its control part, on a control node for its loop.
func budgetOf(row *Row, rest string) Budget {
	onServer := row.Role == ServerControl || (row.Role == Leader || row.Role == Follower) && row.Design != designSession
	last := rest[strings.LastIndex(rest, ".")+1:]
	switch {
	case row.Role == RequestPath && strings.Contains(rest, "added.") && strings.Contains(rest, "p99") && !strings.Contains(rest, "p999"):
		return Budget{addedMilliseconds, "target, 99 in 100"}
	case row.Role == Fleet && strings.HasPrefix(rest, "config."):
		return Budget{configSeconds, "target, everywhere"}
	case onServer && (last == "cpu" || strings.HasSuffix(rest, "cpu.asked")) && row.Unit == "% of a core":
		return Budget{serverControlCPU, "target, on an app server"}
	case onServer && last == "rss":
		return Budget{serverControlMemory, "target, on an app server"}
	case onServer && last == "bytes" && row.Unit == "KB/s":
		return Budget{serverControlBytes, "target, on an app server"}
	case onServer && last == "descriptors":
		return Budget{serverDescriptors, "platform"}
	case (row.Role == Leader || row.Role == Follower) && last == "cpu" && row.Unit == "% of a core":
		return Budget{controlNodeCPU, "assumed: the raft loop is one goroutine, one core"}
	}
	return Budget{}
}
