package sessions

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"larchscale/internal/fleet/controlnode"
)

// maxViolations bounds what is told of one kind of violation.
const maxViolations = 5

// Record is how a fleet stood before an event, which the fleet after it is held against.
type Record struct {
	tokens   map[string]uint64 // of all servers' leases
	ended    map[string]int    // leases of hollow servers that had ended
	overlaps uint64
	logs     map[string]int64 // bytes of each node's log
	newest   uint64           // revision of the newest change of a document
}

// serverLease is what one server holds.
type serverLease struct {
	LeaseHistory
	real bool // only its token is known
}

// leases are those of all servers, by name.
func (f *Fleet) leases() (map[string]serverLease, error) {
	out := map[string]serverLease{}
	histories, err := each(f.workers, call[map[string]LeaseHistory](methodLeases))
	if err != nil {
		return nil, err
	}
	for _, of := range histories {
		for name, history := range of {
			out[name] = serverLease{history, false}
		}
	}
	for _, s := range f.real {
		stats, err := statsOf(s.Name, s.stats)
		if err != nil {
			return nil, err
		}
		history := LeaseHistory{Token: uint64(stats["fleet.life"])}
		if stats["fleet.lease_ms"] > 0 {
			history.Held = history.Token
		}
		out[s.Name] = serverLease{history, true}
	}
	return out, nil
}

// overlaps are the leases that servers held by their clocks when they learned that their token was not theirs any longer.
func (f *Fleet) overlaps() (sum uint64, err error) {
	totals, err := each(f.workers, call[Totals](methodTotals))
	for i := range totals {
		sum += totals[i].Overlaps
	}
	return sum, err
}

// Record begins a record.
func (f *Fleet) Record() (*Record, error) {
	r := &Record{tokens: map[string]uint64{}, ended: map[string]int{}, logs: map[string]int64{}}
	leases, err := f.leases()
	if err != nil {
		return nil, err
	}
	for name, held := range leases {
		r.tokens[name], r.ended[name] = held.Token, len(held.Ended)
	}
	if r.overlaps, err = f.overlaps(); err != nil {
		return nil, err
	}
	documents, err := f.Nodes[0].Documents()
	if err != nil {
		return nil, err
	}
	for _, document := range documents {
		r.newest = max(r.newest, document.Revision)
	}
	for _, n := range f.Nodes {
		info, err := os.Stat(n.logFile)
		if err != nil {
			return nil, err
		}
		r.logs[n.Name] = info.Size()
	}
	return r, forEach(f.workers, func(w *hollowWorker) error { return w.Call(methodMark, struct{}{}, nil) })
}

// Findings are what an event left behind.
type Findings struct {
	Lost       int // servers whose lease ended, or whose token is another, and that should have kept it
	Allowed    int // the same of servers that were cut off or ended
	Snapshots  int // hollow servers that received whole copies
	Changes    int // of documents
	Violations []string
}

func (x *Findings) violation(format string, arguments ...any) {
	if len(x.Violations) < maxViolations*maxViolations {
		x.Violations = append(x.Violations, fmt.Sprintf(format, arguments...))
	}
}

// Findings holds the fleet against the record of before. mayLose tells the servers that may lose their lease.
func (f *Fleet) Findings(before *Record, mayLose func(server string) bool) (*Findings, error) {
	x := &Findings{}
	leases, err := f.leases()
	if err != nil {
		return nil, err
	}
	x.lost(before, leases, mayLose)
	overlaps, err := f.overlaps()
	if err != nil {
		return nil, err
	}
	if n := overlaps - min(overlaps, before.overlaps); n > 0 {
		x.violation("%d servers held a lease by their clock when they learned that its token is another's", n)
	}
	if err := f.checkLogs(before, leases, mayLose, x); err != nil {
		return nil, err
	}
	return x, f.checkDocuments(before, x)
}

// lost looks for leases that ended.
func (x *Findings) lost(before *Record, leases map[string]serverLease, mayLose func(string) bool) {
	told := 0
	for name, token := range before.tokens {
		now, known := leases[name]
		if known && now.Token == token && len(now.Ended) == before.ended[name] {
			continue
		}
		if mayLose(name) {
			x.Allowed++
			continue
		}
		x.Lost++
		if told++; told <= maxViolations {
			x.violation("%s: token %d before, %d now, %d leases ended", name, token, now.Token, len(now.Ended)-before.ended[name])
		}
	}
}

// declared is a line of a node's log that declares a server lost.
type declared struct {
	server string
	token  uint64
	at     time.Time
}

// declarations reads those of a node's log from an offset. The log leaves out lines where there are many in a second.
func declarations(path string, offset int64) (list []declared, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text[min(offset, int64(len(text))):])) {
		var d declared
		lost := false
		for _, field := range strings.Fields(line) {
			name, value, _ := strings.Cut(field, "=")
			switch name {
			case "do":
				lost = value == "lost"
			case "server":
				d.server = value
			case "token":
				fmt.Sscan(value, &d.token)
			case "time":
				d.at, _ = time.Parse(time.RFC3339Nano, value)
			}
		}
		if lost && d.server != "" && !d.at.IsZero() {
			list = append(list, d)
		}
	}
	return list, nil
}

// checkLogs looks for servers that were declared lost and should not have been, or that held their lease later than that.
func (f *Fleet) checkLogs(before *Record, leases map[string]serverLease, mayLose func(string) bool, x *Findings) error {
	for _, n := range f.Nodes {
		list, err := declarations(n.logFile, before.logs[n.Name])
		if err != nil {
			return err
		}
		for _, d := range list {
			if !mayLose(d.server) {
				x.violation("%s declared %s lost, which was connected", n.Name, d.server)
			}
			if until, held := leases[d.server].heldUntil(d.token); held && until.After(d.at) {
				x.violation("%s held token %d until %s, and was declared lost at %s", d.server, d.token, until, d.at)
			}
		}
	}
	return nil
}

// heldUntil tells until when a token was held; false = that is not known.
func (l serverLease) heldUntil(token uint64) (time.Time, bool) {
	if l.Held == token {
		return time.Now(), true
	}
	i := slices.IndexFunc(l.Ended, func(e EndedLease) bool { return e.Token == token })
	if i < 0 {
		return time.Time{}, false
	}
	return l.Ended[i].Until, true
}

// checkDocuments holds what all views applied against what was agreed.
func (f *Fleet) checkDocuments(before *Record, x *Findings) error {
	statuses, err := each(f.Nodes, (*Node).Sessions)
	if err != nil {
		return err
	}
	digest := statuses[0].Digest
	for i := range statuses {
		if statuses[i].Digest != digest {
			x.violation("%s has documents of digest %x, %s of %x", f.Nodes[i].Name, statuses[i].Digest, f.Nodes[0].Name, digest)
		}
	}
	documents, err := f.Nodes[0].Documents()
	if err != nil {
		return err
	}
	expected := changesAfter(documents, before.newest)
	x.Changes = len(expected)
	audits, err := each(f.workers, func(w *hollowWorker) (audit Audit, err error) {
		err = w.Call(methodAudit, expected, &audit)
		return audit, err
	})
	if err != nil {
		return err
	}
	all := Audit{Digests: map[uint64]int{}}
	for _, audit := range audits {
		all.join(audit)
	}
	x.audit(&all, digest, f.options.hollow())
	return nil
}

// changesAfter returns the revisions of changes after one. Measurements give each change a key of its own.
func changesAfter(documents []controlnode.DocumentStatus, revision uint64) []uint64 {
	out := []uint64{}
	for _, document := range documents {
		if document.Revision > revision {
			out = append(out, document.Revision)
		}
	}
	slices.Sort(out)
	return out
}

func (x *Findings) audit(all *Audit, digest uint64, servers int) {
	x.Snapshots = all.Snapshots
	if all.Digests[digest] != servers {
		x.violation("%d of %d servers have documents of the control nodes' digest: %v", all.Digests[digest], servers, all.Digests)
	}
	if all.Repeated > 0 {
		x.violation("%d changes came to views twice or out of order", all.Repeated)
	}
	if all.Missed > 0 {
		x.violation("%d changes did not come to views that had no whole copy", all.Missed)
	}
	if all.Foreign > 0 {
		x.violation("%d changes came to views that nobody made", all.Foreign)
	}
}
