package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Verdict is what became of a suspect.
type Verdict string

// The verdicts.
const (
	Confirmed  Verdict = "confirmed"
	RuledOut   Verdict = "ruled out"
	Unmeasured Verdict = "not measured"
	Mended     Verdict = "mended"
	Undecided  Verdict = "undecided: measured or counted, but no budget is stated"
)

// Suspect is something that might keep the fleet from its target size. Without a stated verdict, its rows decide: it is
// confirmed when one reaches its budget below the target.
type Suspect struct {
	Text    string
	Verdict Verdict  // stated where the code decides
	Rows    []string // ids of the figures
	Why     string
}

// Suspects are what was named before anything was measured.
func Suspects() []Suspect {
	return []Suspect{
		{"a bound of 300 servers in six places", Confirmed, nil, "`link.maxBoxes`, `maintenance.MaxBoxes`, `lease.MaxBoxes`, `placement.MaxBoxes`, `forecast.MaxBoxes`, `sequential.MaxBoxes` are under 740"},
		{"every server is a raft learner", "", []string{"learner.leader.messages", "learner.leader.bytes", "learner.leader.cpu", "learner.leases.leader.messages", "learner.leases.leader.bytes", "learner.leases.leader.cpu", "counted.leader.messages", "counted.leader.leases"}, ""},
		{"an idle server's own control traffic", "", []string{"learner.server.bytes", "learner.leases.server.bytes"}, "under its budget without leases; the leases of takeover are not measured"},
		{"members are admitted one by one", "", []string{"learner.build.time", "learner.build.cpu", "counted.admissions"}, ""},
		{"ledger peers ask everybody every 10 s", "", []string{"counted.peers.asked", "counted.peers.answer", "counted.peers.bytes", "ledger.server.cpu.asked"}, "each request dials anew, and each answer has the digests of all servers; the ledger's exchange is taken as part of the control traffic"},
		{"a mesh of connections for claims, kept replies and messages", "", []string{"counted.mesh.descriptors", "counted.fleet.descriptors"}, ""},
		{"1,024 shards", Confirmed, []string{"counted.shards.imbalance"}, "at twice the target some servers have none; at the target the fullest has this much more than the mean"},
		{"`Host.Ready` waits for every member", Confirmed, nil, "`driver.Host.Ready` wants a report of every member since the process of the leader started; with 17 failures a day, one that is down and not removed holds up the first entry of a part"},
		{"linear searches by name, whole-state snapshots and digests", "", []string{"counted.members.bytes", "learner.server.cpu", "learner.leases.server.cpu"}, "`consensus.State.Named`, `consensus.State.Member` look through all members"},
		{"configuration has no way to the servers but a file and SIGHUP", Confirmed, []string{"counted.config.files"}, "and SIGHUP takes three addresses alone: the rest waits for a restart"},
		{"`core.place` compared the names of routes and tenants one by one", Mended, []string{"pathbefore.cpu.request.tenant", "path.cpu.request.tenant", "pathbefore.cpu.request.class", "path.cpu.request.class"}, "`core.nameIndex` replaces it; at these loads the difference is within the spread"},
		{"a request to the uwsgi front cost more with each route, and with each connection (found while measuring)", Mended, []string{"pathbefore.cpu.uwsgi.class", "path.cpu.uwsgi.class", "pathbefore.cpu.uwsgi.connection", "path.cpu.uwsgi.connection"}, "the rank bands are worked out once"},
		{"a new connection cost more with each that is open (found while measuring)", Mended, []string{"pathbefore.cpu.connect", "path.cpu.connect"}, "one to close is looked for only where there are too many"},
		{"the module's window goes over all tenants", "", []string{"path.cpu.request.tenant", "path.added.p99"}, ""},
		{"start and SIGHUP with 42,000 tenants", "", []string{"path.start.tenant", "path.reload.tenant"}, ""},
		{"a ledger of 42,000 tenants and 4,500 routes (found while measuring)", Confirmed, []string{"path.ledger.starts"}, "`ledger.MaxNames` is 4,096: the program does not start with such a ledger"},
		{"7,700 connections at a server", "", []string{"counted.callers.all", "counted.caller.connections", "path.rss.connection"}, "confirmed for callers that use every server; ruled out for those with the library's subset of 8"},
		{"/stats of 4,500 routes", "", []string{"counted.stats.bytes", "path.stats.bytes", "path.stats.time"}, ""},
	}
}

// SuspectsTable writes the suspects with their verdicts and the figures that they rest on.
func SuspectsTable(suspects []Suspect, rows []Row, recording *Recording, target Size) (string, error) {
	var lines [][]string
	for _, s := range suspects {
		verdict, figures, err := judge(s, rows, recording, target)
		if err != nil {
			return "", err
		}
		lines = append(lines, []string{s.Text, string(verdict), strings.Join(figures, "; "), s.Why})
	}
	return table([]string{"suspect", "verdict", fmt.Sprintf("figures at %s servers", formatNumber(target.Servers)), "remark"}, lines), nil
}

// judge returns the verdict on a suspect and the figures of its rows.
func judge(s Suspect, rows []Row, recording *Recording, target Size) (Verdict, []string, error) {
	var verdicts []Verdict
	known, pending := false, false
	var figures []string
	for _, id := range s.Rows {
		row, err := findRow(rows, id)
		if err != nil {
			return "", nil, err
		}
		cell, err := row.Cell(recording, target)
		if err != nil {
			return "", nil, err
		}
		text := "`" + id + "` " + formatCell(cell, row.Unit)
		share, ok := cell.Share(row.Budget)
		if ok {
			text += ", " + formatShare(share, true) + " of its budget"
			verdicts = append(verdicts, RuledOut)
		}
		wall, met, err := RowWall(row, recording, target)
		if err != nil {
			return "", nil, err
		}
		if ok && share > 1 || met && wall.Servers < target.Servers {
			verdicts = append(verdicts, Confirmed)
		}
		known = known || cell.Provenance != NotMeasured && cell.Unsteady == "" && row.Budget.Most == 0
		pending = pending || row.Budget.Most != 0 && !ok
		figures = append(figures, text)
	}
	switch {
	case s.Verdict != "":
		return s.Verdict, figures, nil
	case slices.Contains(verdicts, Confirmed):
		return Confirmed, figures, nil
	case slices.Contains(verdicts, RuledOut) && !pending:
		return RuledOut, figures, nil
	case known && !pending:
		return Undecided, figures, nil
	}
	return Unmeasured, figures, nil
}
