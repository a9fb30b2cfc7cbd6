package driver

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/maintenance"
)

// Module is a replicated state machine together with what this server does about its state. Its methods are called on
// the driver's loop, one at a time, and must not block.
type Module interface {
	consensus.StateMachine
	// Start is called once with the module's host, before all other methods except Load, and Apply for the entries of
	// the log.
	Start(h *Host)
	// StateChanged is called after the replicated state has changed: the module's own, the members or the maintenance
	// plans.
	StateChanged(now time.Time)
	// Tick is called every 100 ms.
	Tick(now time.Time)
	// LeaderTick is called on the leader after every other Tick, to propose what follows from the state.
	LeaderTick(now time.Time)
	// ReadConfirmed is called once a Host.ReadIndex is confirmed.
	ReadConfirmed(id uint64, now time.Time)
	// Report returns what the voters are told every second, at most maxModuleMessage bytes; nil = nothing.
	Report(now time.Time) []byte
	// ReceiveReport receives the module's report of another server.
	ReceiveReport(from consensus.Member, report []byte, now time.Time)
	// Receive receives a message that a module sent with Host.Send, on another server or on this one.
	Receive(from consensus.Member, message []byte, now time.Time)
	// Metrics returns the module's current metrics for the admin endpoint, one "name=value" a line.
	Metrics(now time.Time) []byte
	// Stop is called once the loop has ended: this process no longer takes part in the fleet.
	Stop()
}

// CommandHandler is a module that takes commands of operators. Its methods are called as those of Module are.
type CommandHandler interface {
	// DecodeCommand decodes a command, and returns the entry to propose, whose outcome is the command's. An error
	// refuses the command, with a one-line text for the operator.
	DecodeCommand(command []byte) (entry any, err error)
	// Status returns the status of the module, to be encoded as JSON. It shares no memory with what the module
	// changes.
	Status() any
}

// ItemReader is a module whose state has items that can be read by key.
type ItemReader interface {
	// Item returns an item, to be encoded as JSON; nil = there is none. It shares no memory with what the module
	// changes.
	Item(key string) any
}

// maxModuleMessage limits a module's message, and its report, in bytes.
const maxModuleMessage = 48 << 10

// Host is the server as a module sees it. Only Enqueue may be called from outside the loop.
type Host struct {
	d      *Driver
	module string
}

// Self returns this server. Its field Voter is not set.
func (h *Host) Self() consensus.Member { return h.d.self }

// Incarnation returns the number of this process among those of the server.
func (h *Host) Incarnation() uint64 { return h.d.incarnation }

// Members returns the members in the replicated state, sorted by id. They must not be changed.
func (h *Host) Members() []consensus.Member { return h.d.node.State().Members }

// IsMember reports whether this server has been admitted.
func (h *Host) IsMember() bool { return h.d.node.State().Member(h.d.self.ID) != nil }

// Leads reports whether this server is the leader as far as it knows, and returns its current term.
func (h *Host) Leads() (term uint64, leads bool) { return h.d.node.Leads() }

// Leader returns the name of the leader as far as this server knows; "" = none.
func (h *Host) Leader() string {
	if m := h.d.node.State().Member(h.d.node.Leader()); m != nil {
		return m.Name
	}
	return ""
}

// Report returns the newest report of a server, and whether it is recent. Only voters receive reports.
func (h *Host) Report(name string) (r maintenance.Report, fresh bool) {
	m := h.d.node.State().MemberByName(name)
	if m == nil {
		return r, false
	}
	return h.d.reports[name], h.d.hasFreshReport(m, time.Now())
}

// SupportedByAll reports whether every member has announced that its program has the module. Until then no entry of
// the module may be proposed: a member without the module would have to end its membership.
func (h *Host) SupportedByAll() bool {
	return !slices.ContainsFunc(h.d.node.State().Members, func(m consensus.Member) bool {
		return m.ID != h.d.self.ID && !slices.Contains(h.d.supportedModules[m.ID], h.module)
	})
}

// Propose proposes an entry of the module; leaderOnly marks one that only the leader derives. The outcome shows in
// the state; an error means that the entry was not proposed.
func (h *Host) Propose(entry any, leaderOnly bool) error {
	data, err := consensus.Encode(entry)
	if err != nil {
		return fmt.Errorf("%s: %w", h.module, err)
	}
	h.d.lastToken++
	return h.d.node.ProposeTo(h.d.lastToken, h.module, data, leaderOnly)
}

// Send sends a message to the module of a server, possibly of this one; false = the queue is full, or there is no
// such server. A message that was queued may still be lost.
func (h *Host) Send(to string, message []byte) bool {
	if to == h.d.self.Name {
		return h.d.enqueue(func() { h.d.deliver(moduleMessage{h.module, message}, h.d.self) })
	}
	m := h.d.node.State().MemberByName(to)
	return m != nil && len(message) <= maxModuleMessage && h.d.senderTo(h.d.ctx, m.ID).queueModuleMessage(moduleMessage{h.module, message})
}

// ReadIndex has the leader confirm with a majority that it still leads. Module.ReadConfirmed is called with the id once
// that is confirmed, which may never be.
func (h *Host) ReadIndex() (id uint64, err error) {
	h.d.lastToken++
	if err := h.d.node.ReadIndex(h.d.lastToken); err != nil {
		return 0, err
	}
	h.d.pendingReads[h.d.lastToken] = pendingRead{h.module, h.d.ticks + readTimeoutTicks}
	return h.d.lastToken, nil
}

// Index returns the index of the last entry that this server has applied.
func (h *Host) Index() uint64 { return h.d.node.Applied() }

// MaintenanceState returns the replicated state of maintenance plans, which must not be changed.
func (h *Host) MaintenanceState() *maintenance.State { return &h.d.node.State().Work }

// ProposeMaintenance proposes an entry of the maintenance plans. The outcome shows in their state.
func (h *Host) ProposeMaintenance(entry maintenance.Entry) { h.d.propose(&entry, nil) }

// SetReports sets the newest reports of servers that are not members of the raft group. It drops the reports of
// servers that the maintenance state no longer contains.
func (h *Host) SetReports(reports map[string]maintenance.Report) {
	work := h.MaintenanceState()
	for name, report := range reports {
		if work.Server(name) != nil {
			h.d.reports[name] = report
		}
	}
	for name := range h.d.reports {
		if work.Server(name) == nil && name != h.d.self.Name {
			delete(h.d.reports, name)
		}
	}
}

// Enqueue queues a function for the loop; false = the queue is full, or the loop has ended. It is safe for concurrent
// use.
func (h *Host) Enqueue(f func()) bool { return h.d.enqueue(f) }

// Log returns the server's logger.
func (h *Host) Log() *slog.Logger { return h.d.log }

// handleModuleCommand has a module decode a command, and proposes the resulting entry. result receives the outcome.
func (d *Driver) handleModuleCommand(command Command, result chan error) {
	m, ok := d.module(command.Part).(CommandHandler)
	if !ok {
		result <- fmt.Errorf("this server has no module %q that takes commands", command.Part)
		return
	}
	entry, err := m.DecodeCommand(command.Data)
	var data []byte
	if err == nil {
		data, err = consensus.Encode(entry)
	}
	if err != nil {
		result <- err
		return
	}
	d.lastToken++
	d.pendingProposals[d.lastToken] = pendingProposal{result, d.ticks + int(commandTimeout/tick)}
	if err := d.node.ProposeTo(d.lastToken, command.Part, data, false); err != nil {
		delete(d.pendingProposals, d.lastToken)
		result <- err
	}
}

// moduleStatus returns the status of a module, or that of the driver without a name; nil = there is no such module.
func (d *Driver) moduleStatus(name string) any {
	if name == "" {
		return d.status()
	}
	if m, ok := d.module(name).(CommandHandler); ok {
		return m.Status()
	}
	return nil
}

// item returns an item of a module's state; nil = there is none.
func (d *Driver) item(module, key string) any {
	if m, ok := d.module(module).(ItemReader); ok {
		return m.Item(key)
	}
	return nil
}

// pendingRead is a read that a module waits for.
type pendingRead struct {
	module        string
	expiresAtTick int // the tick after which it counts as lost
}

const readTimeoutTicks = 20

// moduleMessage is a message between modules of one name.
type moduleMessage struct {
	module string
	data   []byte
}

// module returns the module with a name; nil = unknown.
func (d *Driver) module(name string) Module {
	i := slices.IndexFunc(d.modules, func(m Module) bool { return m.Name() == name })
	if i < 0 {
		return nil
	}
	return d.modules[i]
}

// deliver passes a message to its module. A message for an unknown module is dropped.
func (d *Driver) deliver(message moduleMessage, from consensus.Member) {
	if m := d.module(message.module); m != nil {
		m.Receive(from, message.data, time.Now())
	}
}

// deliverReports passes the reports of a member's modules to the modules here, and records which of them the member
// has.
func (d *Driver) deliverReports(member consensus.Member, reports map[string][]byte) {
	now := time.Now()
	supported := make([]string, 0, len(d.modules))
	for _, m := range d.modules {
		if report, ok := reports[m.Name()]; ok {
			supported = append(supported, m.Name())
			m.ReceiveReport(member, report, now)
		}
	}
	d.supportedModules[member.ID] = supported
}

// moduleReports returns the modules' reports. A module's name among them, even without a report, announces that this
// program has the module.
func (d *Driver) moduleReports(now time.Time) map[string][]byte {
	if len(d.modules) == 0 {
		return nil
	}
	out := map[string][]byte{}
	for _, m := range d.modules {
		report := m.Report(now)
		if len(report) > maxModuleMessage {
			d.log.Error("fleet", "do", "report", "part", m.Name(), "bytes", len(report))
			report = nil
		}
		out[m.Name()] = report
	}
	return out
}

// deliverReads passes confirmed reads to the modules that wait for them.
func (d *Driver) deliverReads(ids []uint64, now time.Time) {
	for _, id := range ids {
		if r, ok := d.pendingReads[id]; ok {
			delete(d.pendingReads, id)
			d.module(r.module).ReadConfirmed(id, now)
		}
	}
}

// decodeModuleMessages decodes the frames of one request: the sender, then a module's name and its message in turn.
func decodeModuleMessages(frames [][]byte) (from consensus.Member, out []moduleMessage, err error) {
	if len(frames)%2 == 0 {
		return from, nil, fmt.Errorf("%d frames are no messages of modules", len(frames))
	}
	if err := cbor.Unmarshal(frames[0], &from); err != nil {
		return from, nil, err
	}
	for i := 1; i < len(frames); i += 2 {
		out = append(out, moduleMessage{string(frames[i]), frames[i+1]})
	}
	return from, out, nil
}
