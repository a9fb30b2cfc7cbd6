package control

import "time"

// Effect is what happens when a request runs more than once.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // runs once within the window of its class
	Unsafe               // runs once, and a repeat cannot be recognized
)

// Stopping is what Worker.Stop does to a run.
type Stopping uint8

// The ways in which a run stops.
const (
	StopNever    Stopping = iota // a run cannot be stopped
	StopRequeues                 // the progress is lost and the request is held again
	StopPauses                   // the request keeps its progress and its memory
)

// Advert is how callers interpret the value of Worker.SetLevel.
type Advert uint8

// The interpretations of the advertised value.
const (
	AdvertNone   Advert = iota // not read at all
	AdvertLevel                // requests of lower rank are not sent
	AdvertCredit               // requests that a caller may have outstanding at this worker
	AdvertWeight               // probability, 0 to 1, that a caller does not pass the worker over
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes of runs and calls.
const (
	OK          Outcome = iota // succeeded
	Errored                    // failed; it may have taken effect
	Rejected                   // call refused by the service before it ran
	TimedOut                   // call abandoned; it may have taken effect
	Unreachable                // call that reached no service, so it never ran
	Interrupted                // call interrupted; it may have taken effect
	Stopped                    // run stopped, or ended because nobody waits for it
	NotStarted                 // run that never started, as the request was concluded before
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // time from the first try within which a result has its full worth; 0 = Deadline
	Deadline  time.Duration // longest time that a client waits; 0 = one minute
	Window    time.Duration // Keyed: longest time after the first request in which a repeat may come
	Worth     float64       // worth of a result within Aim
	LateWorth float64       // fraction of Worth that a result between Aim and Deadline earns
	Effect    Effect
	Calls     bool    // may call the shared dependency while it runs
	SkipWorth float64 // fraction of Worth earned without the call; 0 = the call may not be left out
}

// Tenant describes one of the tenants that share the service.
type Tenant struct {
	Share float64 // fraction of the service allotted to it
	Quota float64 // requests/s over the whole fleet that count in full; 0 = all
}

// Config holds the settings of a worker at its start. A zero field means that the value is not known; the
// controller then uses a safe default, which the field's comment gives where it is not obvious.
type Config struct {
	Seed            uint64
	Servers         int // workers in the fleet; 0 = 1
	Callers         int // callers of the fleet; 0 = 1
	Cores           int // 0 = 1
	Classes         []Class
	Tenants         []Tenant
	Advert          Advert
	Stopping        Stopping
	Cold            bool          // the worker has just started and is not at full speed
	ColdFrom        float64       // least speed of a cold worker, as a fraction of full speed
	ColdFor         time.Duration // time after which the worker is warm at the latest
	Memory          float64       // kilobytes; 0 = no limit known
	RunFactor       float64       // memory of a running request as a multiple of that of a held one; 0 = 1
	KeyMemory       float64       // kilobytes that one remembered key takes
	Crowd           float64       // mean requests on the cores, per core, that a warm worker survives; 0 = 2
	CrowdFor        time.Duration // time over which that mean is taken
	CallShare       float64       // mean calls in flight that this worker may have; 0 = 1, but see the next field
	DownstreamSheds bool          // the downstream service refuses calls by itself; CallShare 0 then means no limit
	CallWindow      time.Duration // time over which the mean of CallShare is taken
	CallLingers     time.Duration // time for which an abandoned call still counts as in flight
	DrainGrace      time.Duration // time after the notice from which arriving requests are not run
	Slack           time.Duration // time after the due time within which an answer still counts
	HeardFor        time.Duration // time for which callers remember the level
	MaxAdvice       time.Duration // longest advice to stay away that callers follow; 0 = they follow none
	IdleMax         time.Duration // time after which callers close idle connections
	Quantum         time.Duration // least time between two calls of Decide
	ReportsCanceled bool          // the worker learns when a caller cancels a request
	ExpensiveChecks bool          // a health check does real work unless it is answered from a stored result
	OverWorth       float64       // fraction of the worth that traffic over a tenant's quota has
}

// Request is a request that the worker has read and now holds.
type Request struct {
	ID       uint32
	Class    int
	Tenant   int
	Rank     float64       // from 0 to below 1; orders by worth, then by user
	TimeLeft time.Duration // how long the caller still waits; 0 = not known
	Waited   time.Duration // time since it reached the machine, spent unread
	Memory   float64       // kilobytes while held
	Work     time.Duration // expected work on a standard core, the request's hint; 0 = none
	Caller   uint32
	Subject  uint64 // hash of the object that the request is about, for affinity; 0 = none
	RepeatOf uint32 // ID of the remembered request that this one repeats; 0 = none
	Retry    bool   // marked as a further try
}

// Gauges are the worker's own readings. A value that is negative or NaN is unknown.
type Gauges struct {
	CoreUse float64 // fraction of the cores in use over the last half second
	OnCores float64 // runs, reads, health checks and handshakes that need a core now
	Memory  float64 // fraction of the memory in use
	Conns   float64 // open connections
}

// Worker carries out the decisions of a Controller. The Controller calls its methods from within its own
// methods, so they must not call the Controller.
type Worker interface {
	Run(id uint32)  // start a held request, or resume a stopped one
	Stop(id uint32) // stop a run
	// Refuse gives a final answer: the request never ran, and the caller is to stay away for a time. With last
	// set, the caller is to make no further try, at any worker.
	Refuse(id uint32, away time.Duration, last bool)
	Fail(id uint32)                         // give a final error, which does not say whether the request took effect
	Call(id uint32, patience time.Duration) // make the call that the request waits for, abandoned after patience
	Skip(id uint32)                         // continue the run without that call
	Keep(id uint32, term time.Duration)     // remember the key of the request for the given time
	Forget(id uint32)                       // forget the key of the request
	Replay(id uint32)                       // answer with the result of the request that this one repeats
	SetLevel(x float64)                     // set the value that is sent with every answer, read as Advert says
	SetHealth(ok, stored bool)              // set the answer to health checks; stored = answer without real work
	CloseIdle(after time.Duration)          // close connections that are idle for this long
	Wake(in time.Duration)                  // call Tick after this time
	Log(text string)                        // write one line to the operator's log
}
