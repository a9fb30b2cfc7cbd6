package driver

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/agree"
	"larchscale/internal/fleet/takeout"
)

// Module is a further matter that the boxes settle among themselves: a part of the agreed state, and what this box
// does about it. Its methods are called on the driver's loop, one at a time, and must not block.
type Module interface {
	agree.Part
	// Begin gives it its box, once, before all else but Load and Apply of what the log holds.
	Begin(h *Host)
	// Applied tells that the agreed state has changed, its own or the members.
	Applied(now time.Time)
	// Tick comes every 100 ms.
	Tick(now time.Time)
	// Lead comes after every other Tick, on the leader: it proposes what follows.
	Lead(now time.Time)
	// Read tells that Host.Read is confirmed.
	Read(id uint64, now time.Time)
	// Report is its part of what the voters are told every second, maxWord bytes at most; nil = nothing.
	Report(now time.Time) []byte
	// Heard takes such a part of another box.
	Heard(from agree.Member, report []byte, now time.Time)
	// Receive takes what the module of another box, or of this one, sent with Host.Send.
	Receive(from agree.Member, message []byte, now time.Time)
	// Lines are its figures for the door, "name=value" each, as of now.
	Lines(now time.Time) []byte
	// End tells that the loop has ended: this process takes no part any longer.
	End()
}

// Ordered is a module that operators give words to. Its methods are as Module's.
type Ordered interface {
	// Order reads an operator's word and gives the entry that follows, whose outcome is the operator's; an error = the
	// word cannot be, in one line for people.
	Order(word []byte) (entry any, err error)
	// Stands is how the part stands, as JSON will have it. It shares nothing with what the module changes.
	Stands() any
}

// Itemized is a module whose part has items that can be asked for by key.
type Itemized interface {
	// Item returns an item, as JSON will have it; nil = there is none. It shares nothing with what the module changes.
	Item(key string) any
}

// maxWord bounds one message of a module, and its part of a report.
const maxWord = 48 << 10

// Host is the box as a module sees it. Only Enter may be called from outside the loop.
type Host struct {
	d    *Driver
	part string
}

// Self is this box. Its Voter does not count.
func (h *Host) Self() agree.Member { return h.d.self }

// Incarnation numbers this process of the box.
func (h *Host) Incarnation() uint64 { return h.d.inc }

// Members are those of the agreed state, by id; they are not to be changed.
func (h *Host) Members() []agree.Member { return h.d.node.State().Members }

// Member tells that this box is let in.
func (h *Host) Member() bool { return h.d.node.State().Member(h.d.self.ID) != nil }

// Leads tells that this box leads as far as it knows, and the term.
func (h *Host) Leads() (term uint64, leads bool) { return h.d.node.Leads() }

// Leader is the name of the leader as far as this box knows; "" = none.
func (h *Host) Leader() string {
	if m := h.d.node.State().Member(h.d.node.Leader()); m != nil {
		return m.Name
	}
	return ""
}

// Report is the newest report of a box, as a voter has it.
func (h *Host) Report(name string) (r takeout.Report, fresh bool) {
	m := h.d.node.State().Named(name)
	if m == nil {
		return r, false
	}
	return h.d.reports[name], h.d.fresh(m, time.Now())
}

// Ready tells that every member has told that its program knows the part: until then no entry of it may come, as
// those that do not know it would end their part in the fleet.
func (h *Host) Ready() bool {
	return !slices.ContainsFunc(h.d.node.State().Members, func(m agree.Member) bool {
		return m.ID != h.d.self.ID && !slices.Contains(h.d.knows[m.ID], h.part)
	})
}

// Propose asks for an entry of the part; derived = it is one that only the leader derives. What becomes of it, shows
// in the state; nil = it was asked.
func (h *Host) Propose(entry any, derived bool) error {
	data, err := agree.Encode(entry)
	if err != nil {
		return fmt.Errorf("%s: %w", h.part, err)
	}
	h.d.token++
	return h.d.node.ProposePart(h.d.token, h.part, data, derived)
}

// Send has a message brought to the module of a box, this one too. False = there is no room, or no such box. It may
// be lost all the same.
func (h *Host) Send(to string, message []byte) bool {
	if to == h.d.self.Name {
		return h.d.enter(func() { h.d.hand(word{h.part, message}, h.d.self) })
	}
	m := h.d.node.State().Named(to)
	return m != nil && len(message) <= maxWord && h.d.to(h.d.ctx, m.ID).say(word{h.part, message})
}

// Read has a majority asked whether this box leads still. Module.Read brings the id once it does, or never comes.
func (h *Host) Read() (id uint64, err error) {
	h.d.token++
	if err := h.d.node.Read(h.d.token); err != nil {
		return 0, err
	}
	h.d.asked[h.d.token] = reading{h.part, h.d.ticks + readTicks}
	return h.d.token, nil
}

// Index returns the index of the last entry that this box has applied.
func (h *Host) Index() uint64 { return h.d.node.Applied() }

// Work returns the agreed state of plans; it is not to be changed.
func (h *Host) Work() *takeout.State { return &h.d.node.State().Work }

// ProposeWork asks for an entry of the agreed state of plans. What becomes of it shows in that state.
func (h *Host) ProposeWork(entry takeout.Entry) { h.d.propose(&entry, nil) }

// SetReports takes the newest reports of servers that are no members of raft. Those of servers that the agreed state of
// plans does not have any longer are dropped.
func (h *Host) SetReports(reports map[string]takeout.Report) {
	work := h.Work()
	for name, report := range reports {
		if work.Box(name) != nil {
			h.d.reports[name] = report
		}
	}
	for name := range h.d.reports {
		if work.Box(name) == nil && name != h.d.self.Name {
			delete(h.d.reports, name)
		}
	}
}

// Enter has f run on the loop; false = there is no room, or the loop has ended. It is safe from any goroutine.
func (h *Host) Enter(f func()) bool { return h.d.enter(f) }

// Log is the box's log.
func (h *Host) Log() *slog.Logger { return h.d.log }

// ordered has a module read an operator's word, and proposes what follows; answer hears what became of it.
func (d *Driver) ordered(w Word, answer chan error) {
	m, ok := d.module(w.Part).(Ordered)
	if !ok {
		answer <- fmt.Errorf("this box has no part %q that takes a word", w.Part)
		return
	}
	entry, err := m.Order(w.Data)
	var data []byte
	if err == nil {
		data, err = agree.Encode(entry)
	}
	if err != nil {
		answer <- err
		return
	}
	d.token++
	d.waiting[d.token] = pending{answer, d.ticks + int(outcome/tick)}
	if err := d.node.ProposePart(d.token, w.Part, data, false); err != nil {
		delete(d.waiting, d.token)
		answer <- err
	}
}

// stands is how the fleet stands, or a module's part; nil = there is no such part.
func (d *Driver) stands(part string) any {
	if part == "" {
		return d.status()
	}
	if m, ok := d.module(part).(Ordered); ok {
		return m.Stands()
	}
	return nil
}

// item returns an item of a module's part; nil = there is none.
func (d *Driver) item(part, key string) any {
	if m, ok := d.module(part).(Itemized); ok {
		return m.Item(key)
	}
	return nil
}

// reading is a read that a module waits for.
type reading struct {
	part  string
	until int // ticks
}

const readTicks = 20

// word is a message between modules.
type word struct {
	part string
	data []byte
}

// module gives a module by its part; nil = unknown.
func (d *Driver) module(part string) Module {
	i := slices.IndexFunc(d.modules, func(m Module) bool { return m.Name() == part })
	if i < 0 {
		return nil
	}
	return d.modules[i]
}

// hand gives a message to the module that it is for; one of a part that is unknown here is dropped.
func (d *Driver) hand(w word, from agree.Member) {
	if m := d.module(w.part); m != nil {
		m.Receive(from, w.data, time.Now())
	}
}

// heardParts hands the parts of a report to their modules.
func (d *Driver) heardParts(m agree.Member, parts map[string][]byte) {
	now := time.Now()
	known := make([]string, 0, len(d.modules))
	for _, mod := range d.modules {
		if part, ok := parts[mod.Name()]; ok {
			known = append(known, mod.Name())
			mod.Heard(m, part, now)
		}
	}
	d.knows[m.ID] = known
}

// reportParts are what the modules have to tell. A part that is there, empty or not, tells that it is known.
func (d *Driver) reportParts(now time.Time) map[string][]byte {
	if len(d.modules) == 0 {
		return nil
	}
	out := map[string][]byte{}
	for _, m := range d.modules {
		part := m.Report(now)
		if len(part) > maxWord {
			d.log.Error("fleet", "do", "report", "part", m.Name(), "bytes", len(part))
			part = nil
		}
		out[m.Name()] = part
	}
	return out
}

// confirmed hands reads to the modules that wait for them.
func (d *Driver) confirmed(ids []uint64, now time.Time) {
	for _, id := range ids {
		if r, ok := d.asked[id]; ok {
			delete(d.asked, id)
			d.module(r.part).Read(id, now)
		}
	}
}

// words reads the messages of one request: the sender, then part and message in turn.
func words(list [][]byte) (from agree.Member, out []word, err error) {
	if len(list)%2 == 0 {
		return from, nil, fmt.Errorf("%d frames are no messages of modules", len(list))
	}
	if err := cbor.Unmarshal(list[0], &from); err != nil {
		return from, nil, err
	}
	for i := 1; i < len(list); i += 2 {
		out = append(out, word{string(list[i]), list[i+1]})
	}
	return from, out, nil
}
