// Package takeover lets keyed requests survive the loss of their app server. Each keyed request is claimed at the two
// replicas of its key's shard before it runs, its outcome is stored at both before it is answered, and when its server
// is lost the primary takes it over, once. docs/design/hand.md has the states, the invariants and why no key runs
// twice.
//
// The package is a pure state machine: no I/O, no goroutines, no clock. Every method takes the server's monotonic time;
// outputs accumulate and are returned by TakeOutputs. It is not safe for concurrent use.
package takeover

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards that all keys are hashed into. Each shard has its replicas.
const Shards = 1024

// Key identifies a keyed request in the fleet.
type Key struct{ Class, Token string }

// Shard returns the shard of a key, the same on every server.
func (k Key) Shard() int {
	data := binary.AppendUvarint(make([]byte, 0, 64), uint64(len(k.Class)))
	return int(xxhash.Sum64(append(append(data, k.Class...), k.Token...)) % Shards)
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Token, b.Token))
}

// Owner is one process of a server. Life is its fencing token: the index of the entry that registered it.
type Owner struct {
	Box  string // name of the server
	Life uint64
}

// KeyedRequest is a keyed request as its replicas store it: all that is needed to take it over.
type KeyedRequest struct {
	Key     Key
	Sum     [32]byte // hash of the body: another body under the same key is another request
	Body    []byte   // never modified once set
	Handle  string   // by which its server's worker pool knows it
	Cursor  uint64   // of its server's pool: what the pool reports about this request comes after it
	Tenant  string
	Subject uint64
	Caller  uint32
	Rank    float64
	Memory  float64       // kilobytes while in flight
	Work    time.Duration // expected processor time
	Due     time.Duration // time left when this was sent; a duration, because clocks differ
	Life    time.Duration // how long its record must still be kept: window, deadline and a margin
	Repeat  bool          // its class may be run again
}

// View is the agreed state as of an epoch, the same on every server that has reached that epoch.
type View struct {
	Epoch    uint64 // log index of the last change
	Prev     uint64 // epoch of the previous view; 0 = the caller guarantees that it passes every view in order
	Self     string
	Token    uint64                   // fencing token of this process; a process with a new one begins with no state
	Replicas func(slice int) []string // up to two registered servers, the primary first
	Tokens   map[string]uint64        // fencing tokens of the registered servers
	NewShard func(slice int) bool     // the shard never had replicas before this epoch
	Pools    map[Owner]string         // worker pool addresses of processes, expired ones included; "" = unknown
}

// Limits are bounds and times. Zero fields take the values of Defaults.
type Limits struct {
	Records       int           // at this replica, and of this server's own claims; further claims are refused
	Bytes         int64         // of records with their bodies and results, at this replica and again for this server's own claims
	MaxRetention  time.Duration // maximum KeyedRequest.Life
	MaxViewLag    time.Duration // maximum time that a server whose lease holds can be behind a view
	MaxAdopted    int           // maximum number of requests that are taken over and in flight at this server
	RetryInterval time.Duration // interval at which unacknowledged messages are sent again
}

// Defaults are the limits for a server of ordinary size.
var Defaults = Limits{Records: 200_000, Bytes: 256 << 20, MaxRetention: 3 * time.Minute, MaxViewLag: 10 * time.Second,
	MaxAdopted: 32, RetryInterval: 100 * time.Millisecond}

const (
	recordOverheadBytes      = 768                    // of a record or claim, without its body and result
	unconfirmedQueryInterval = 300 * time.Millisecond // a replica queries the owner of an unconfirmed claim after it
	confirmedQueryInterval   = 5 * time.Second        // and of a confirmed claim
	probeInterval            = 500 * time.Millisecond // between two probes for one key
	copySourceTimeout        = 2 * time.Second        // a source that is silent for longer is not waited for
	maxCopyRecords           = 64                     // records of a shard in flight to one server
	maxCopyBytes             = 64 << 10               // bytes of records of a shard in flight to one server
	maxResendsPerTick        = 2048                   // claims that are sent again in one tick
	maxCopiesInFlight        = 2048                   // records in flight to all servers; past it no copy begins
	retryAfter               = 500 * time.Millisecond // when to try again at replicas that are not ready
)

// ClaimState is the result of a claim.
type ClaimState uint8

// The states of a Verdict.
const (
	Won           ClaimState = iota + 1 // the key belongs to this server, which runs it
	HeldElsewhere                       // another server has it: ask again
	Done                                // it ran; Result is the first result
	Failed                              // it failed, or may have run and will not be run again
	BodyMismatch                        // the key belongs to another body
	Unavailable                         // the replicas cannot accept claims; After says when to try again
)

var stateNames = [...]string{"none", "won", "other", "done", "failed", "off", "down"}

func (s ClaimState) String() string { return stateNames[s] }

// Send is a message to a server. All items for one server in one call of TakeOutputs are in one message.
type Send struct {
	To  string
	Msg *Message
}

// Verdict answers a Claim, exactly once.
type Verdict struct {
	Key     Key
	ClaimID uint64 // of that Claim
	State   ClaimState
	Result  []byte        // Done only
	After   time.Duration // Unavailable only
	Why     string
}

// Finished answers a Finish. With OK, the replicas have the outcome and the result may be answered while the lease
// holds. Otherwise the key no longer belongs to this server.
type Finished struct {
	Key     Key
	ClaimID uint64 // of that Finish
	OK      bool
}

// Probe asks the driver to connect to the pool of a lost process, which excludes that process, and to report with
// HandleProof what the pool knows of the keys. A pool that no longer exists is reported as Unknown.
type Probe struct {
	Owner Owner
	Pool  string
	Keys  []ProbedKey
}

// ProbedKey is one key of a Probe. Unless the process is the only one that may have won the key (Alone), the pool of another
// process may have run it or be running it: this pool may be listened to, but must not be given the run.
type ProbedKey struct {
	Key    Key
	Handle string // by which the pool knows the run; "" = unknown
	Cursor uint64 // of the pool: what it reports about the request comes after it
	Alone  bool
}

// Adopt gives the core a request to run. Its key belongs to this server as if it had been claimed here under the id 0 and
// won.
type Adopt struct{ Piece KeyedRequest }

// Outputs are the results of one or more inputs. With Disown all else is empty: lease or token has ended, and no key
// belongs to this server any longer.
type Outputs struct {
	Disown   bool
	Sends    []Send
	Verdicts []Verdict
	Finished []Finished
	Probes   []Probe
	Adopts   []Adopt
}

// Machine is the state machine of one server: it claims keys, is a replica of the shards that the view assigns to it, and
// takes over requests of lost servers.
//
// The caller passes each view in the order of the log, beginning with the first in which the process is registered
// under its own token; extends the lease as the log renews it; calls Tick every RetryInterval; and calls TakeOutputs
// after each input or batch of inputs, with the current time. It sends messages as they come out: they may be lost,
// repeated or late. A request is given to the pool only by Won or Adopt, and answered only by Finished or a Done
// verdict, both only while Active. Release is for keys that no pool was given. After Disown nothing that the core has in
// flight belongs to the server any longer; the caller takes a new token from the log and goes on with the same Machine,
// or a new one.
type Machine struct {
	limits      Limits
	injected    defects
	view        View
	leaseEnd    time.Duration // end of the lease
	disowned    bool          // nothing is done until the process has a new token
	newestEpoch uint64        // newest epoch in any message of another server

	lastTry        uint64
	claims         map[Key]*claim
	unacknowledged []*claim
	claimBytes     int64 // bytes of bodies and results in claims

	shards         [Shards]shardState
	localShards    []int           // shards that this server is a replica of, or keeps for the current view
	openRecords    []*storedRecord // at this replica: without an outcome, or with one that is not sealed
	recordCount    int
	recordBytes    int64
	copiesInFlight int // unacknowledged records of copies
	expiries       expiries
	adoptedCount   int  // requests taken over, and takeovers in progress
	takeoverDue    bool // requests of lost servers must be checked before the next TakeOutputs

	outputs   Outputs
	sendIndex map[string]int // index in Outputs.Sends by server
	loopback  []Item         // messages from this server to itself
}

// defects are faults that only tests inject, to check that they are detected.
type defects struct {
	leaseIgnored, ackUnrecorded, epochUnchecked, takeoverByOwnClock, primaryAlone, promoteUnsynced, contestedOwner,
	noQuarantine, adoptUnreplicated, answerUnreplicated, probeSkipped, claimIDIgnored bool
}

// New returns a Machine without a fencing token: its first view sets one.
func New(limits Limits) *Machine {
	limits.Records, limits.MaxAdopted = cmp.Or(limits.Records, Defaults.Records), cmp.Or(limits.MaxAdopted, Defaults.MaxAdopted)
	limits.Bytes = cmp.Or(limits.Bytes, Defaults.Bytes)
	limits.MaxRetention, limits.MaxViewLag, limits.RetryInterval = cmp.Or(limits.MaxRetention, Defaults.MaxRetention),
		cmp.Or(limits.MaxViewLag, Defaults.MaxViewLag), cmp.Or(limits.RetryInterval, Defaults.RetryInterval)
	return &Machine{limits: limits, disowned: true}
}

// NewestEpoch returns the newest epoch that any server reported. If it is past the view's own, this server is behind.
func (h *Machine) NewestEpoch() uint64 { return max(h.newestEpoch, h.view.Epoch) }

// ExtendLease extends the lease of a token, if it is that of the current view: the lease of a later token covers nothing that
// was decided under an earlier one. A lease that ran out may be extended while the token is the same: the log has not
// declared it expired, so nothing has been taken over. Until then the server does nothing.
func (h *Machine) ExtendLease(token uint64, until time.Duration) {
	if token == h.view.Token {
		h.leaseEnd = max(h.leaseEnd, until)
	}
}

// active reports whether the server may act.
func (h *Machine) active(now time.Duration) bool {
	return !h.disowned && (now < h.leaseEnd || h.injected.leaseIgnored)
}

// Active reports whether the server has a token and a lease that holds.
func (h *Machine) Active(now time.Duration) bool { return h.active(now) }

// disown ends a token: all state is dropped, and all pending outputs with it.
func (h *Machine) disown() {
	h.disowned, h.outputs, h.sendIndex, h.loopback = true, Outputs{Disown: true}, nil, nil
	h.claims, h.unacknowledged, h.openRecords, h.expiries, h.localShards = nil, nil, nil, nil, nil
	h.shards, h.recordCount, h.recordBytes, h.adoptedCount, h.copiesInFlight, h.claimBytes = [Shards]shardState{}, 0, 0, 0, 0, 0
}

// TakeOutputs returns the pending outputs. It checks the lease again: a server that was stopped between an input and this
// call sends nothing.
func (h *Machine) TakeOutputs(now time.Duration) Outputs {
	if !h.disowned && !h.active(now) {
		return Outputs{}
	}
	if !h.disowned && h.takeoverDue {
		h.takeOver(now)
		h.deliverLoopback(now)
	}
	out := h.outputs
	h.outputs, h.sendIndex = Outputs{}, nil
	return out
}

// SetView sets an agreed view and, with the first one of a token, the end of its lease. Older views are ignored. A
// server that missed a view in between, or is new, is in sync for no shard.
func (h *Machine) SetView(now time.Duration, view View, lease time.Duration) {
	if h.view.Epoch >= view.Epoch && h.view.Token == view.Token {
		return
	}
	newToken := view.Token != h.view.Token
	if !newToken && h.disowned {
		return
	}
	if newToken {
		if !h.disowned {
			h.disown()
		}
		h.disowned, h.claims, h.lastTry, h.leaseEnd = false, map[Key]*claim{}, 0, lease
	}
	if view.Token == 0 || view.Tokens[view.Self] != view.Token {
		h.view = view
		h.disown()
		return
	}
	follows := !newToken && (view.Prev == 0 || view.Prev == h.view.Epoch)
	h.view = view
	h.leaseEnd = max(h.leaseEnd, lease)
	h.newestEpoch, h.copiesInFlight = max(h.newestEpoch, view.Epoch), 0
	h.localShards = h.localShards[:0]
	for i := range h.shards {
		if h.updateShard(now, i, follows); h.shards[i].role > 0 || h.shards[i].inSync {
			h.localShards = append(h.localShards, i)
		}
	}
	h.offerSync(now)
	for _, key := range sortedKeys(h.claims) {
		h.updateClaim(now, h.claims[key])
	}
	h.takeoverDue = true
	h.deliverLoopback(now)
}

// Tick must be called every RetryInterval: it sends unacknowledged messages again, drops what has expired, and takes
// over.
func (h *Machine) Tick(now time.Duration) {
	if !h.active(now) {
		return
	}
	h.expire(now)
	h.claimTick(now)
	h.recordTick(now)
	h.takeOver(now)
	h.deliverLoopback(now)
}

// Metrics are counts for the metrics of a server.
type Metrics struct {
	Claims, Records, Open, Adopted int
	Bytes                          int64
	Quarantined                    int // shards that this server is the primary of and that accept no new claims
}

// Metrics returns the counts.
func (h *Machine) Metrics() Metrics {
	figures := Metrics{Claims: len(h.claims), Records: h.recordCount, Open: len(h.openRecords), Adopted: h.adoptedCount,
		Bytes: h.recordBytes}
	for _, i := range h.localShards {
		if shard := &h.shards[i]; shard.role == 1 && !shard.inSync {
			figures.Quarantined++
		}
	}
	return figures
}

// InSync reports whether this server is a replica of a shard and has all its records.
func (h *Machine) InSync(shard int) bool { return h.shards[shard].role > 0 && h.shards[shard].inSync }

// OpenRequest returns a request without an outcome as this replica stores it; false = there is none.
func (h *Machine) OpenRequest(now time.Duration, key Key) (KeyedRequest, bool) {
	record := h.shards[key.Shard()].records[key]
	if record == nil || record.outcome != nil {
		return KeyedRequest{}, false
	}
	return h.recordMessage(now, record).Piece, true
}

// isCurrent reports whether a process is the current one of its server.
func (h *Machine) isCurrent(owner Owner) bool {
	return owner.Life != 0 && h.view.Tokens[owner.Box] == owner.Life
}

func (h *Machine) self() Owner { return Owner{h.view.Self, h.view.Token} }

// replicas returns the current processes of a shard's replicas.
func (h *Machine) replicas(shard int) []Owner {
	names := h.view.Replicas(shard)
	out := make([]Owner, 0, 2)
	for _, name := range names[:min(2, len(names))] {
		out = append(out, Owner{name, h.view.Tokens[name]})
	}
	return out
}

func sortedKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
