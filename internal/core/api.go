// Package core carries a request from its arrival to its one final answer. It knows no wire: fronts,
// the worker pool, the calls below, the directory and the shared store reach it as typed events and are
// reached through the small interfaces of this file. The decisions are the controller's alone.
package core

import (
	"time"

	"larchscale/control"
	"larchscale/internal/ledger"
)

// Kind tells what an Answer means.
type Kind uint8

// The kinds of answer.
const (
	Served   Kind = iota // the result of a run of this request
	Refused              // this try never ran
	Failed               // an error; it may have run
	TimedOut             // as Failed, and the caller's time is over
	Conflict             // its token belongs to another body; it never ran
	Invalid              // it cannot be a request; it never ran
	Checked              // a health check
)

// String returns the kind's name in the log.
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

// Answer is what a front sends back. Kinds but Checked are final.
type Answer struct {
	Kind Kind
	Body []byte        // Served: the result
	Why  string        // not Served: a few words for people
	Away time.Duration // Refused: stay away so long
	Last bool          // Refused: try nowhere else
	Up   bool          // Checked
	Hint float64       // the free value; negative = none yet
}

// Reply takes the answer to one request or check. It must not block.
type Reply interface{ Answer(Answer) }

// Session is one connection of a front. Its methods must not block.
type Session interface {
	Drain(left time.Duration) // tell the other side to send nothing new; what has not come after left is not run
	// Close ends the connection, on which no request is open, unless something has come on it beyond the heard events
	// that the core has taken of it, or is there to be read: that is delivered, and keeps the connection. So a request
	// that was read is answered on its connection. The end is told by Closed, and logged with the reason.
	Close(heard uint64, why CloseReason)
}

// CloseReason tells why the server ends a connection. It stands in the log as it is.
type CloseReason string

// The reasons for which the core ends a connection.
const (
	CloseIdle     CloseReason = "idle"
	CloseRoom     CloseReason = "room for a newer connection"
	CloseUnserved CloseReason = "too many requests came to nothing"
	CloseShutdown CloseReason = "shutdown"
)

// Listener is what lets connections in. Its methods must not block.
type Listener interface {
	// Shut takes the connections that others have made already, and lets no more in.
	Shut()
	// Conns is how many connections are open or about to end.
	Conns() int
}

// Runner passes commands to the worker pool. Its methods must not block.
type Runner interface {
	Run(handle, class string, body []byte)
	Stop(handle string)
	Supply(handle string, body []byte)
	// Pass has a run go on without the call that a notice asked for.
	Pass(handle string, notice uint64)
	Poll(ticket string)
	// Verify asks for the work of a deep health check.
	Verify(ticket string)
}

// Caller makes calls below; a subject of 0 is of nobody. Its methods must not block; each Call ends with one CallEnded, unless it was
// given up by Abandon or by a further Call for the same handle. One that must be made once is not repeated
// whatever becomes of its connection. Numbers are new with every Call, and CallEnded carries that of the call which it is
// the end of: a call that is given up may have ended already, and its end is told all the same.
type Caller interface {
	Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte)
	Abandon(handle string)
}

// Worth is what became of a request that made calls below, in shares of what was asked for.
type Worth struct {
	Value       float64 // of its worth: 1 in its aim, what its class gives for a late result, else 0
	Served      bool
	Late        bool
	Calls, Lost int64 // calls that it made, and of them those that brought no reply
}

// Judge hears once of each request that made a call below, when it has its final answer or its caller has gone. It must
// not block.
type Judge interface {
	Judge(handle string, w Worth)
}

// Lister tells the directory whether this server takes work. It must not block.
type Lister interface {
	Report(open bool)
	Silence() // nothing that was reported is said again, until the next Report
}

// Key names one request with an effect, whichever front its tries come by.
type Key struct {
	Class int
	Token string
}

// Claim is the state of a key in the shared store.
type Claim uint8

// The states of a key.
const (
	ClaimWon    Claim = iota // this server may run it, and nobody else
	ClaimOther               // another server has it in hand
	ClaimDone                // it ran, and this is its result
	ClaimFailed              // it ran or may have run, and failed
	ClaimOff                 // it belongs to another body
	ClaimDown                // the store does not tell
)

// Piece is a keyed request as the shared store has it: all that another server needs to run it in this one's
// place. Its body is not to be changed.
type Piece struct {
	Key     Key
	Handle  string   // by which the worker pool knows its run, at whichever server
	Sum     [32]byte // of the body
	Body    []byte
	Tenant  int           // -1 = none
	Rank    float64       // 0 to below 1
	Memory  float64       // kilobytes while held
	Work    time.Duration // to expect on one core, a rough hint; 0 = not told
	Subject uint64
	Caller  uint32
	Left    time.Duration // until it is due
	Life    time.Duration // how long its claim has to be kept: window, deadline and a margin
}

// Store is the table of keys that several servers share. Its methods must not block.
type Store interface {
	// Claim asks for a key; each that is taken (true) ends with one Claimed event.
	Claim(p Piece) bool
	// Finish tells how the run of a claimed key ended. With wait one Finished event follows, and what ended is not
	// answered before it; none follows a Disown.
	Finish(k Key, sum [32]byte, ok bool, result []byte, life time.Duration) (wait bool)
	// Release gives up the claim of what never ran. It touches no claim of before a Disown.
	Release(k Key)
	// Holds tells that what this server has claimed is still its own. It is asked at the moment of acting, by the
	// loop, and must cost no more than an atomic read and a clock. Where claims may be another's it stays false until a
	// Disown is taken; where it only could not be told for a while, it may hold again.
	Holds() bool
}

// Use is what one request used, told when it is over.
type Use struct {
	Class        int
	Tenant       int           // -1 = none
	Began, Ended time.Duration // since Core.Start
	End          ledger.End
	Replay       bool // served with the result of another try
	Figures      ledger.Figures
}

// Booker keeps the ledger of use. Its methods must not block. Booked events tell how far what it was given is
// written.
type Booker interface {
	// Book takes an entry and gives its ticket; tickets count up from 1.
	Book(Use) uint64
	// Flush ends a turn in which entries were booked.
	Flush()
	// Ready tells that new work may be taken.
	Ready() bool
	// Strict tells that a result leaves only once its entry is written.
	Strict() bool
	// Overdue tells what becomes of a result whose entry is not written when it is due: true = it leaves, false
	// = the request fails.
	Overdue() bool
}

// Site is what a server is told of its place.
type Site struct {
	Control control.Config
	Classes []string // their names, in the order of Control.Classes
	Tenants []string
	Gauges  []string
	Stop    time.Duration // from the notice to leave until the process is killed
	Bounds  Bounds

	classIndex, tenantIndex nameIndex
}

// Bounds are what the platform's limits leave for the core's tables.
type Bounds struct {
	Sessions int // connections kept open; beyond, those that stand idle are closed
	Open     int // requests in hand
	Table    int // bytes of keys and results
}

// IndexNames builds the indexes that Class and Tenant look names up in. It is called once Classes and Tenants are
// complete, and again after any change of them; until then Class and Tenant search the names one by one.
func (s *Site) IndexNames() {
	s.classIndex = newNameIndex(s.Classes)
	s.tenantIndex = newNameIndex(s.Tenants)
}

// Class returns the place of a class by its name; -1 = none.
func (s *Site) Class(name string) int { return s.classIndex.find(s.Classes, name) }

// Tenant returns the place of a tenant by its name; -1 = none.
func (s *Site) Tenant(name string) int { return s.tenantIndex.find(s.Tenants, name) }

// Keyed tells whether requests of a class carry a token.
func (s *Site) Keyed(class int) bool { return s.Control.Classes[class].Effect == control.Keyed }

// Incoming is one request as a front read it.
type Incoming struct {
	Handle  string // new with every try
	Class   int
	Tenant  int // -1 = none
	Caller  uint32
	Arrived time.Time     // at the machine
	Budget  time.Duration // the caller waits so long from Arrived; 0 = not told
	Rank    float64
	Memory  float64       // kilobytes while held
	Work    time.Duration // to expect on one core, a rough hint; 0 = not told
	Token   string        // keyed classes
	Subject uint64
	Retry   bool
	Body    []byte
}

// Event is what reaches the core's loop.
type Event interface{ event() }

// The events of fronts.
type (
	// Opened tells of a new connection. A single one carries one request and is never closed as idle.
	Opened struct {
		Session Session
		Single  bool
	}
	// Closed tells that a connection is gone.
	Closed struct{ Session Session }
	// Arrive brings a request.
	Arrive struct {
		Session Session
		Reply   Reply
		Req     Incoming
	}
	// Withdraw tells that nobody waits for a request any longer.
	Withdraw struct {
		Session Session
		Handle  string
	}
	// Check asks for the health; a deep one also whether work is getting done.
	Check struct {
		Session Session
		Reply   Reply
		Deep    bool
	}
)

// The events of the worker pool.
type (
	// PoolBound tells that a link is up, and how long ago the pool started, cold or warm.
	PoolBound struct {
		Cold bool
		Age  time.Duration
	}
	// PoolLost tells that the link ended: commands of its last moments may not have come.
	PoolLost struct{}
	// PoolUnknown tells that a command was not carried out.
	PoolUnknown struct{ Command, Handle string }
	// PoolFinished tells that a run is over.
	PoolFinished struct {
		Handle string
		End    control.Outcome // OK, Errored, Stopped or Moot
		Took   time.Duration
		Body   []byte
	}
	// PoolBlocked tells that a run waits for a call.
	PoolBlocked struct {
		Handle string
		Notice uint64 // its number
		Body   []byte
	}
	// PoolVerified tells how the work of a deep health check ended.
	PoolVerified struct {
		Ticket string
		OK     bool
	}
	// PoolPolled brings the gauges.
	PoolPolled struct {
		Ticket  string
		Figures []float64
	}
)

// CallEnded tells how a call below ended. One whose number is not that of the call in hand is passed over.
type CallEnded struct {
	Handle  string
	Number  uint64 // of the Call
	Outcome control.Outcome
	Body    []byte // OK: the reply
}

// Claimed tells what the shared store said of a key.
type Claimed struct {
	Key    Key
	State  Claim
	Result []byte // ClaimDone
}

// The events of a store that watches over the work of servers that are lost.
type (
	// Finished tells what became of an end that the core was told to wait for.
	Finished struct {
		Key Key
		OK  bool // the end is where it survives this server; else the piece is another's
	}
	// Adopt brings a piece of a server that is lost: it is run here. Its key is claimed for this server already.
	Adopt struct{ Piece Piece }
	// Disown tells that nothing that was claimed is this server's any longer. What was asked for before it is not told
	// as won after it.
	Disown struct {
		Taken func() // called by the loop once all is given up; from then on Holds speaks of new claims; nil = nobody asks
	}
)

// Booked tells that all entries up to a ticket are written.
type Booked struct{ Through uint64 }

// Drain is the notice to leave.
type Drain struct{}

// Hold is an operator's drain (On) or its end: while held, health checks and reports to the directory say
// that this server takes no work, and what still comes is served as ever.
type Hold struct{ On bool }

// Handoff is a SIGTERM while a newer process of this server serves the same address: no notice to leave the
// fleet. Open connections are told at once to reconnect, what is open is finished, and the loop ends before
// Kill, counted from the event.
type Handoff struct{ Kill time.Duration }

// Configured tells that the server's configuration documents are those as of a revision.
type Configured struct{ Revision uint64 }

func (Opened) event()       {}
func (Closed) event()       {}
func (Arrive) event()       {}
func (Withdraw) event()     {}
func (Check) event()        {}
func (PoolBound) event()    {}
func (PoolLost) event()     {}
func (PoolUnknown) event()  {}
func (PoolFinished) event() {}
func (PoolBlocked) event()  {}
func (PoolPolled) event()   {}
func (PoolVerified) event() {}
func (CallEnded) event()    {}
func (Claimed) event()      {}
func (Finished) event()     {}
func (Adopt) event()        {}
func (Disown) event()       {}
func (Booked) event()       {}
func (Drain) event()        {}
func (Handoff) event()      {}
func (Hold) event()         {}
func (Configured) event()   {}
