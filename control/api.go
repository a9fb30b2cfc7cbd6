package control

import "time"

// Effect tells what happens when a request runs more than once.
type Effect uint8

// The three kinds of class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // runs once within the class's window
	Unsafe               // runs once, and its repeats cannot be told
)

// Stopping tells what Worker.Stop does to running work.
type Stopping uint8

// The three ways of stopping.
const (
	StopNever Stopping = iota // running work cannot be stopped
	StopDrops                 // what was done is lost, the request is held again
	StopHolds                 // the request keeps its progress and its memory
)

// Advert tells how callers read the value of Worker.SetLevel.
type Advert uint8

// The ways in which callers read the free value.
const (
	AdvertNone   Advert = iota // not at all
	AdvertLevel                // nothing of lower rank is sent
	AdvertCredit               // requests a caller may have outstanding here
	AdvertWeight               // chance, 0 to 1, of not being passed over
)

// Outcome tells how a run or a call ended.
type Outcome uint8

// The outcomes of runs and calls.
const (
	OK          Outcome = iota // succeeded
	Errored                    // failed, may have taken effect
	Rejected                   // call turned away unseen: it never ran
	TimedOut                   // call abandoned: it may have taken effect
	Unreachable                // call found nobody: it never ran
	Broken                     // call interrupted: it may have taken effect
	Stopped                    // run stopped, or ended because nobody waits
	Moot                       // nothing began: the request was over
)

// Class describes one class of request.
type Class struct {
	Aim       time.Duration // full worth within this, from the first try; 0 = Deadline
	Deadline  time.Duration // what a client waits in all; 0 = a minute
	Window    time.Duration // Keyed: how long a repeat may come after the first
	Worth     float64       // worth of an answer within Aim
	LateWorth float64       // part of the worth an answer earns between Aim and Deadline
	Effect    Effect
	Calls     bool    // may call the shared dependency while it runs
	SkipWorth float64 // part of the worth earned without the call; 0 = the call may not be left out
}

// Tenant describes one of those who share the service.
type Tenant struct {
	Share float64 // part of the service allotted
	Quota float64 // requests a second over the whole fleet that count in full; 0 = all
}

// Config is what a worker is told when it starts. A zero field means that nothing is known of it: the
// module then takes a safe reading, given here where it is not plain.
type Config struct {
	Seed        uint64
	Servers     int // workers in the fleet; 0 = 1
	Callers     int // callers that the fleet has; 0 = 1
	Cores       int // 0 = 1
	Classes     []Class
	Tenants     []Tenant
	Advert      Advert
	Stopping    Stopping
	Cold        bool          // just started, not yet at full speed
	ColdFrom    float64       // least share of its speed that a cold worker has
	ColdFor     time.Duration // warm after this at the latest
	Memory      float64       // kilobytes; 0 = no limit known
	RunFactor   float64       // memory of a running request over that of a held one; 0 = 1
	KeyMemory   float64       // kilobytes of one kept key
	Crowd       float64       // running requests on the cores, per core, that a warm worker survives; 0 = 2
	CrowdFor    time.Duration // the mean is taken over this
	CallShare   float64       // mean calls in hand this worker may have; 0 = 1, but see CallsTier
	CallsTier   bool          // calls go to a tier that refuses for itself: without a CallShare none is meant
	CallWindow  time.Duration // the mean is taken over this
	CallLingers time.Duration // an abandoned call counts for so long
	DrainGrace  time.Duration // what arrives later than this after the notice is not run
	Slack       time.Duration // an answer this long after the due time still counts
	HeardFor    time.Duration // how long callers remember the level
	MaxAdvice   time.Duration // longest advice to stay away that is heeded; 0 = none is
	IdleMax     time.Duration // callers close idle connections after this
	Quantum     time.Duration // least time between two Decides
	HearsGone   bool          // told when a caller gives up
	DearChecks  bool          // a health check does real work unless answered from store
	OverWorth   float64       // part of the worth that traffic over a tenant's quota has
}

// Request is one request that the worker has read and now holds.
type Request struct {
	ID      uint32
	Class   int
	Tenant  int
	Rank    float64       // 0 to below 1, by worth, then by user
	Left    time.Duration // how long the caller still waits; 0 = not told
	Waited  time.Duration // since it reached the machine, unread
	Memory  float64       // kilobytes while held
	Work    time.Duration // expected work on a standard core; 0 = not told
	Caller  uint32
	Subject uint64
	Repeat  uint32 // id of the kept request that this one repeats; 0 = none
	Retry   bool   // marked as a further try
}

// Gauges are the worker's own readings. One that is negative or not a number is unknown.
type Gauges struct {
	CoreUse float64 // share of the cores in use over the last half second
	OnCores float64 // runs, reads, checks and handshakes that need a core now
	Memory  float64 // share of the memory in use
	Conns   float64 // open connections
}

// Worker carries out what the Controller decides. Its methods are called from within the Controller's
// own and must not call back into it.
type Worker interface {
	Run(id uint32)                                   // start a held request, or resume a stopped one
	Stop(id uint32)                                  // stop running work
	Refuse(id uint32, away time.Duration, last bool) // final: never ran; stay away so long; try nowhere else
	Fail(id uint32)                                  // final: an error, with no assurance
	Call(id uint32, patience time.Duration)          // make the call that the request waits for
	Skip(id uint32)                                  // go on without that call
	Keep(id uint32, term time.Duration)              // remember the key of the request
	Forget(id uint32)                                // drop that memory
	Replay(id uint32)                                // answer with the result of the request it repeats
	SetLevel(x float64)                              // the free value that goes out with every answer
	SetHealth(ok, stored bool)                       // the answer to health checks; stored = without real work
	CloseIdle(after time.Duration)                   // close connections idle for so long
	Wake(in time.Duration)                           // ask for a Tick
	Log(text string)                                 // one line for the people on call
}
