// Package core carries each request from its arrival to its single final answer. It is independent of any protocol:
// the fronts, the worker pool, downstream calls, the directory and the shared store deliver typed events to it, and
// it reaches them through the small interfaces in this file. All scheduling decisions are made by the controller.
package core

import (
	"time"

	"larchscale/control"
	"larchscale/internal/ledger"
)

// Kind classifies an Answer.
type Kind uint8

// The kinds of answer.
const (
	Served   Kind = iota // the result of a run of this request
	Refused              // this try never ran
	Failed               // an error; the request may have run
	TimedOut             // like Failed, after the caller's time has run out
	Conflict             // the token belongs to a different body; the request never ran
	Invalid              // not a valid request; it never ran
	Checked              // the reply to a health check
)

// String returns the kind's name as logged.
func (k Kind) String() string {
	switch k {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case TimedOut:
		return "timed out"
	case Conflict:
		return "conflict"
	case Invalid:
		return "invalid"
	case Checked:
		return "checked"
	}
	return "unknown"
}

// Answer is what a front sends back to its caller. Every kind except Checked is final.
type Answer struct {
	Kind       Kind
	Body       []byte        // Served: the result
	Why        string        // every kind except Served: a short reason for people
	RetryAfter time.Duration // Refused: the caller should not send again for this long
	Final      bool          // Refused: the caller should not try another server
	Healthy    bool          // Checked: the server takes work
	Hint       float64       // the load hint that the controller sets; negative = not known yet
}

// Reply receives the answer to one request or health check. It must not block.
type Reply interface{ Answer(Answer) }

// Session is one connection of a front. Its methods must not block.
type Session interface {
	Drain(left time.Duration) // asks the peer to send nothing new; requests that arrive after left are not run
	// Close asks for the end of a connection that has no open request. The connection stays open if it has delivered
	// more than the heard events that the core has processed, or if more input is waiting to be read: that input is
	// delivered instead. So a request that was read is always answered on its own connection. The end is reported by
	// an event and logged with the reason.
	Close(heard uint64, why CloseReason)
}

// CloseReason is why the server closes a connection. It is logged verbatim.
type CloseReason string

// The reasons for which the core closes a connection.
const (
	CloseIdle     CloseReason = "idle"
	CloseEvicted  CloseReason = "room for a newer connection"
	CloseUnserved CloseReason = "too many unserved requests"
	CloseShutdown CloseReason = "shutdown"
)

// Listener accepts connections. Its methods must not block.
type Listener interface {
	// StopAccepting accepts the connections that are already established and then stops accepting.
	StopAccepting()
	// Conns returns the number of connections that are open or being closed.
	Conns() int
}

// Runner sends commands to the worker pool. Its methods must not block. Sent is false if there was no link to write the
// command to, so that it cannot arrive; otherwise it may arrive even if its link ends.
type Runner interface {
	Run(handle, class string, body []byte) (sent bool)
	Stop(handle string)
	Supply(handle string, body []byte) (sent bool)
	// SkipCall lets a run continue without the call that the notice asked for.
	SkipCall(handle string, notice uint64) (sent bool)
	Poll(ticket string)
	// Verify asks the worker pool to do the work of a deep health check.
	Verify(ticket string)
}

// Downstream makes downstream calls; a subject of 0 means no subject. Its methods must not block. Each Call ends with one
// CallEnded event unless Abandon or a further Call for the same handle gives it up. A call with once set is not
// repeated, whatever happens to its connection. Every Call has a new number, and its CallEnded carries that number: a
// call that is given up may have ended already, and its end is still reported.
type Downstream interface {
	Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte)
	Abandon(handle string)
}

// RequestOutcome is the outcome of a request that made downstream calls.
type RequestOutcome struct {
	// Value is the share of the worth that was earned: 1 within the aim, the class's LateWorth for a late result, or 0.
	Value       float64
	Served      bool
	Late        bool
	Calls, Lost int64 // calls made, and how many of them brought no reply
}

// OutcomeObserver is called once for each request that made a downstream call, when the request has its final answer or is
// canceled by its caller. It must not block.
type OutcomeObserver interface {
	RequestEnded(handle string, w RequestOutcome)
}

// AvailabilityReporter reports to the directory whether this server takes work. It must not block.
type AvailabilityReporter interface {
	Report(open bool)
	StopReporting() // stops repeating what was reported, until the next Report
}

// Key identifies one request that has an effect, whichever front its tries arrive at.
type Key struct {
	Class int
	Token string
}

// Claim is the state of a key in the shared store.
type Claim uint8

// The states of a key.
const (
	ClaimWon         Claim = iota // this server, and no other, may run it
	ClaimOther                    // it is in flight at another server
	ClaimDone                     // it ran, and its result is known
	ClaimFailed                   // it ran or may have run, and failed
	ClaimConflict                 // the key belongs to a different body
	ClaimUnavailable              // the store did not answer
)

// ClaimID is the fencing token of a claim: no two claims of one process have the same. A store acts on the end of a claim
// only while the key is held by just that claim, and an answer is applied only to the claim that it answers. It is 0 for a
// claim that was taken over from another server; a process holds at most one such claim of a key at a time.
type ClaimID uint64

// KeyedRequest is a keyed request as kept in the shared store, with everything that another server needs to run it in place
// of this one. Its body must not be modified.
type KeyedRequest struct {
	Key     Key
	ClaimID ClaimID
	Handle  string   // identifies its run at the worker pool, at whichever server that is
	Sum     [32]byte // SHA-256 of the body
	Body    []byte
	Tenant  int           // -1 = none
	Rank    float64       // in [0, 1)
	Memory  float64       // kilobytes while held
	Work    time.Duration // rough estimate of the time on one core; 0 = unknown
	Subject uint64
	Caller  uint32
	Left    time.Duration // until the request is due
	Life    time.Duration // how long the claim has to be kept: window, deadline and a margin
}

// Store is the table of keys shared by several servers. Its methods must not block.
type Store interface {
	// Claim asks for a key. Each request that is accepted (true) is followed by one event with the answer.
	Claim(p KeyedRequest) bool
	// Finish reports how the run of a claimed key ended. If it returns wait, one event with the confirmation follows,
	// and the result must not be sent to callers before it; after a Disown there is none.
	Finish(k Key, claim ClaimID, sum [32]byte, ok bool, result []byte, life time.Duration) (wait bool)
	// Release gives up the claim of a request that never ran, whether it was answered or not. It does not affect claims
	// made before a Disown, nor later claims of the key, however late it takes effect.
	Release(k Key, claim ClaimID)
	// OwnsClaims reports whether the claims of this server are still its own. The loop calls it at the moment of acting,
	// so it must cost no more than an atomic load and a clock read. Once claims may belong to another server it stays
	// false until a Disown is processed; if ownership was only unknown for a while, it may become true again.
	OwnsClaims() bool
}

// Usage is the resource usage of one request, reported when the request is over.
type Usage struct {
	Class        int
	Tenant       int           // -1 = none
	Began, Ended time.Duration // since Core.Start
	End          ledger.End
	Replay       bool // served with the result of another try
	Figures      ledger.Figures
}

// UsageLedger records usage in the ledger. Its methods must not block. Events report how far the entries are written.
type UsageLedger interface {
	// Record takes an entry and returns its ticket; tickets count up from 1.
	Record(Usage) uint64
	// Flush marks the end of a loop iteration in which entries were recorded.
	Flush()
	// Ready reports whether new work may be accepted.
	Ready() bool
	// Strict reports whether a result is sent only after its entry is written.
	Strict() bool
	// SendOverdue decides what happens to a result whose entry is not written by its due time: true = the result is sent,
	// false = the request fails.
	SendOverdue() bool
}

// Config is the configuration of a server.
type Config struct {
	Control  control.Config
	Classes  []string // class names, in the order of Control.Classes
	Tenants  []string
	Gauges   []string
	StopTime time.Duration // from the drain notice until the process is killed
	Bounds   Bounds

	classIndex, tenantIndex nameIndex
}

// Bounds limits the size of the core's tables, as derived from the platform's limits.
type Bounds struct {
	Sessions  int // connections kept open; above this, idle ones are closed
	Open      int // requests in flight, with results that wait for the ledger
	OpenBytes int // their bytes; at or above this, new ones are refused
	Table     int // bytes of keys and results
}

// IndexNames builds the indexes for lookups by name. It is called once Classes and Tenants are complete, and
// again after any change to them; until then lookups search linearly.
func (s *Config) IndexNames() {
	s.classIndex = newNameIndex(s.Classes)
	s.tenantIndex = newNameIndex(s.Tenants)
}

// ClassIndex returns the index of the class with this name; -1 = none.
func (s *Config) ClassIndex(name string) int { return s.classIndex.find(s.Classes, name) }

// TenantIndex returns the index of the tenant with this name; -1 = none.
func (s *Config) TenantIndex(name string) int { return s.tenantIndex.find(s.Tenants, name) }

// Keyed reports whether requests of a class carry a token.
func (s *Config) Keyed(class int) bool { return s.Control.Classes[class].Effect == control.Keyed }

// IncomingRequest is one request as read by a front.
type IncomingRequest struct {
	Handle  string // unique to this try
	Class   int
	Tenant  int // -1 = none
	Caller  uint32
	Arrived time.Time     // at this machine
	Budget  time.Duration // how long the caller waits, counted from Arrived; 0 = unknown
	Rank    float64
	Memory  float64       // kilobytes while held
	Work    time.Duration // rough estimate of the time on one core; 0 = unknown
	Token   string        // keyed classes only
	Subject uint64
	Retry   bool
	Body    []byte
}

// Event is an input of the core's loop.
type Event interface{ event() }

// The events of fronts.
type (
	// SessionOpened reports a new connection. A Single one carries one request and is never closed as idle.
	SessionOpened struct {
		Session Session
		Single  bool
	}
	// SessionClosed reports that a connection has ended.
	SessionClosed struct{ Session Session }
	// RequestArrived delivers a request.
	RequestArrived struct {
		Session Session
		Reply   Reply
		Req     IncomingRequest
	}
	// RequestCanceled reports that the caller canceled a request.
	RequestCanceled struct {
		Session Session
		Handle  string
	}
	// HealthCheck asks for the health; a deep check also asks whether work is being completed.
	HealthCheck struct {
		Session Session
		Reply   Reply
		Deep    bool
	}
)

// The events of the worker pool.
type (
	// PoolBound reports that a link is up, how long ago the pool started, and whether it started cold.
	PoolBound struct {
		Cold bool
		Age  time.Duration
	}
	// PoolLost reports that the link ended; the last commands sent on it may not have arrived.
	PoolLost struct{}
	// PoolCommandUnknown reports that a command was not carried out.
	PoolCommandUnknown struct{ Command, Handle string }
	// PoolFinished reports the end of a run.
	PoolFinished struct {
		Handle  string
		Outcome control.Outcome // OK, Errored, Stopped or NotStarted
		RunTime time.Duration
		Body    []byte
	}
	// PoolBlocked reports that a run waits for a downstream call.
	PoolBlocked struct {
		Handle string
		Notice uint64 // identifies this notice
		Body   []byte
	}
	// PoolVerified reports the result of the work of a deep health check.
	PoolVerified struct {
		Ticket string
		OK     bool
	}
	// PoolGauges delivers the gauges.
	PoolGauges struct {
		Ticket string
		Values []float64
	}
)

// CallEnded reports the end of a downstream call. It is ignored if its number is not that of the call in flight.
type CallEnded struct {
	Handle  string
	Number  uint64 // number of the Call
	Outcome control.Outcome
	Body    []byte // OK: the reply
}

// ClaimAnswered is the shared store's answer to a claim.
type ClaimAnswered struct {
	Key     Key
	ClaimID ClaimID
	State   Claim
	Result  []byte // ClaimDone: the result
}

// The events of a store that takes over the work of servers that fail.
type (
	// FinishConfirmed reports the outcome of a Finish that the core was told to wait for.
	FinishConfirmed struct {
		Key     Key
		ClaimID ClaimID
		OK      bool // the result is stored where it survives this server; otherwise the request belongs to another server
	}
	// Adopt delivers a keyed request of a failed server, to be run here. Its key is already claimed for this server.
	Adopt struct{ Request KeyedRequest }
	// Disown reports that none of the claims belong to this server any longer. Claims requested before it are not
	// reported as won after it.
	Disown struct {
		// Done is called by the loop once all claims are given up; from then on the store's claims are new ones. It
		// may be nil.
		Done func()
	}
)

// LedgerWritten reports that all ledger entries up to a ticket are written.
type LedgerWritten struct{ Through uint64 }

// Drain tells the server to shut down.
type Drain struct{}

// OperatorDrain starts (On) or ends a drain by an operator. During it, health checks and reports to the directory say that
// this server takes no work, and requests that arrive are served as usual.
type OperatorDrain struct{ On bool }

// Handoff reports a SIGTERM while a newer process of this server serves the same address, so the server does not
// leave the fleet. Open connections are asked at once to reconnect, open requests are finished, and the loop ends
// before Kill, counted from the event.
type Handoff struct{ KillAfter time.Duration }

// ConfigurationApplied reports that the configuration documents of a revision are in effect.
type ConfigurationApplied struct{ Revision uint64 }

func (SessionOpened) event()        {}
func (SessionClosed) event()        {}
func (RequestArrived) event()       {}
func (RequestCanceled) event()      {}
func (HealthCheck) event()          {}
func (PoolBound) event()            {}
func (PoolLost) event()             {}
func (PoolCommandUnknown) event()   {}
func (PoolFinished) event()         {}
func (PoolBlocked) event()          {}
func (PoolGauges) event()           {}
func (PoolVerified) event()         {}
func (CallEnded) event()            {}
func (ClaimAnswered) event()        {}
func (FinishConfirmed) event()      {}
func (Adopt) event()                {}
func (Disown) event()               {}
func (LedgerWritten) event()        {}
func (Drain) event()                {}
func (Handoff) event()              {}
func (OperatorDrain) event()        {}
func (ConfigurationApplied) event() {}
