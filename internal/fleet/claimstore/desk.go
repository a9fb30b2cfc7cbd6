// Package claimstore stores the claims of the core's keyed requests in the fleet: it implements the core's Store by running
// package takeover on a goroutine of its own. Claims and outcomes are sent to the replicas of their keys over separate
// streams, and the in-flight requests of lost servers are brought to an outcome at their worker pools.
package claimstore

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/fleet/takeover"
	"larchscale/internal/fleet/transport"
	"larchscale/internal/link"
)

const (
	tickInterval     = 50 * time.Millisecond
	maxQueue         = 4096 // capacity of the queue of calls from other goroutines
	maxCallsPerFlush = 256  // queued calls that are processed before the outputs are sent
)

// Options configure a Store.
type Options struct {
	Server    string
	Site      *core.Config
	Limits    takeover.Limits
	Cursor    func() uint64     // current cursor of the worker pool's link
	Addresses map[string]string // addresses of other servers by name; others are reached at the address that they report
}

// Store is the claim store of one process.
type Store struct {
	opt            Options
	membership     *membership.State
	sink           func(core.Event)
	log            *slog.Logger
	queue          chan func()
	receivedBytes  atomic.Int64                              // of messages of other servers that are queued
	pendingDisowns atomic.Int64                              // Disowns that the core has not processed yet
	machineToken   atomic.Uint64                             // the fencing token under which machine acts
	coreToken      atomic.Uint64                             // token of the core's claims; 0 = the core must give them up
	inSync         atomic.Pointer[[takeover.Shards / 8]byte] // one bit per shard
	metrics        atomic.Pointer[takeover.Metrics]

	// Used only by the loop.
	machine     *takeover.Machine
	token       uint64 // fencing token of the view that machine has
	placed      bool   // shards were assigned in that view
	pendingView *membership.View
	streams     *transport.Streams[*takeover.Message]
	takeovers   map[takeover.Owner]*poolTakeover
	calls       Caller
	counts      takeoverCounts
	callWaits   callWaits
}

// Caller makes downstream calls for runs of lost servers. Its methods are those of core.Downstream.
type Caller interface {
	Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte)
}

// takeoverCounts counts requests that were taken over.
type takeoverCounts struct {
	lost, ended, unknown atomic.Uint64
}

// New returns a claim store. It can serve as the core's store at once, and refuses requests until the fleet has a
// placement.
func New(opt Options, sink func(core.Event), log *slog.Logger) *Store {
	return &Store{opt: opt, sink: sink, log: log, queue: make(chan func(), maxQueue), machine: takeover.New(opt.Limits),
		takeovers: map[takeover.Owner]*poolTakeover{}}
}

// Attach sets the membership state and the link that the store uses. It must be called before Run.
func (d *Store) Attach(state *membership.State, link *link.Link, calls Caller) {
	d.membership, d.calls = state, calls
	d.streams = d.newStreams(link)
}

// Run runs the loop until ctx ends.
func (d *Store) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.refreshLease()
			d.machine.Tick(d.now())
			d.publish()
		case call := <-d.queue:
			d.refreshLease()
			call()
			for remaining := min(len(d.queue), maxCallsPerFlush); remaining > 0; remaining-- {
				(<-d.queue)()
			}
		}
		d.flush(ctx)
	}
}

func (d *Store) now() time.Duration { return d.membership.Now() }

// refreshLease passes on the current end of the lease, and applies a view that waited for the first lease of its token.
func (d *Store) refreshLease() {
	d.machine.ExtendLease(d.membership.Lease())
	if view := d.pendingView; view != nil && d.membership.Holds() {
		d.pendingView = nil
		d.setView(view)
	}
}

// enqueue queues call to run on the loop; it returns false if the queue is full.
func (d *Store) enqueue(call func()) bool {
	select {
	case d.queue <- call:
		return true
	default:
		return false
	}
}

// SetView queues the next view; it is called on the fleet's loop. It blocks while the queue is full, because without the
// view the store would act under an outdated one.
func (d *Store) SetView(view *membership.View) {
	d.queue <- func() {
		if view.Token != d.token && view.Token != 0 && !d.membership.Holds() {
			d.pendingView = view
			return
		}
		d.pendingView = nil
		d.setView(view)
	}
}

// setView passes a view to machine.
func (d *Store) setView(view *membership.View) {
	first := view.Token != d.token || !d.placed // this server was not a replica under this token before
	d.token, d.placed = view.Token, view.Placed()
	d.machineToken.Store(view.Token)
	lives, pools := map[string]uint64{}, map[takeover.Owner]string{}
	for name, server := range view.Registered {
		lives[name] = server.Life
	}
	for _, server := range view.Expired { // a server that is registered again has its pool to itself
		pools[takeover.Owner{Box: server.Name, Life: server.Life}] = server.Pool
	}
	leaseEnd := time.Duration(0)
	if token, end := d.membership.Lease(); token == view.Token {
		leaseEnd = end
	}
	d.machine.SetView(d.now(), takeover.View{Epoch: view.Epoch, Prev: view.Prev, Self: d.opt.Server, Token: view.Token,
		Tokens: lives, Pools: pools,
		Replicas: func(shard int) (out []string) {
			for _, name := range pairOf(view.Replicas(shard)) {
				if name != "" {
					out = append(out, name)
				}
			}
			return out
		},
		NewShard: func(shard int) bool { return first && view.HeldSinceOrigin(shard, d.opt.Server) },
	}, leaseEnd)
}

func pairOf(a, b string) [2]string { return [2]string{a, b} }

// InSync reports whether this server has all records of a shard. It is safe for use from any goroutine.
func (d *Store) InSync(shard int) bool {
	bits := d.inSync.Load()
	return bits != nil && bits[shard/8]>>(shard%8)&1 == 1
}

func (d *Store) publish() {
	bits := new([takeover.Shards / 8]byte)
	for i := range takeover.Shards {
		if d.machine.InSync(i) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	d.inSync.Store(bits)
	metrics := d.machine.Metrics()
	d.metrics.Store(&metrics)
}

// flush carries out the outputs of machine.
func (d *Store) flush(ctx context.Context) {
	out := d.machine.TakeOutputs(d.now())
	if out.Disown {
		d.pendingDisowns.Add(1)
		d.coreToken.Store(0)
		d.sink(core.Disown{Done: func() {
			if d.pendingDisowns.Add(-1) == 0 {
				d.coreToken.Store(d.machineToken.Load())
			}
		}})
	} else if d.pendingDisowns.Load() == 0 {
		d.coreToken.Store(d.token)
	}
	for _, send := range out.Sends {
		d.streams.Send(ctx, send.To, send.Msg)
	}
	for _, verdict := range out.Verdicts {
		d.verdict(verdict)
	}
	for _, finished := range out.Finished {
		if key, ok := d.coreKey(finished.Key); ok {
			d.sink(core.FinishConfirmed{Key: key, ClaimID: core.ClaimID(finished.ClaimID), OK: finished.OK})
		}
	}
	for _, adopt := range out.Adopts {
		d.adopt(adopt.Piece)
	}
	for _, probe := range out.Probes {
		d.probe(ctx, probe)
	}
}

var claimStates = map[takeover.ClaimState]core.Claim{takeover.Won: core.ClaimWon, takeover.HeldElsewhere: core.ClaimOther, takeover.Done: core.ClaimDone,
	takeover.Failed: core.ClaimFailed, takeover.BodyMismatch: core.ClaimConflict, takeover.Unavailable: core.ClaimUnavailable}

func (d *Store) verdict(verdict takeover.Verdict) {
	key, ok := d.coreKey(verdict.Key)
	if !ok {
		return
	}
	if verdict.State == takeover.Unavailable {
		d.log.Info("keys", "do", "refuse", "class", verdict.Key.Class, "why", verdict.Why)
	}
	d.sink(core.ClaimAnswered{Key: key, ClaimID: core.ClaimID(verdict.ClaimID), State: claimStates[verdict.State], Result: verdict.Result})
}

func (d *Store) coreKey(key takeover.Key) (core.Key, bool) {
	class := d.opt.Site.ClassIndex(key.Class)
	return core.Key{Class: class, Token: key.Token}, class >= 0
}

func (d *Store) fleetKey(key core.Key) takeover.Key {
	return takeover.Key{Class: d.opt.Site.Classes[key.Class], Token: key.Token}
}

// adoptedClaimID is the id of every claim that was taken over.
const adoptedClaimID = 0

// adopt gives the core a request that is run here.
func (d *Store) adopt(request takeover.KeyedRequest) {
	key, ok := d.coreKey(request.Key)
	if !ok {
		d.enqueue(func() { d.machine.Release(d.now(), request.Key, adoptedClaimID) })
		return
	}
	d.sink(core.Adopt{Request: core.KeyedRequest{Key: key, Handle: request.Handle, Sum: request.Sum, Body: request.Body,
		Tenant: d.opt.Site.TenantIndex(request.Tenant), Rank: request.Rank,
		Memory: request.Memory, Work: request.Work, Subject: request.Subject, Caller: request.Caller,
		Left: request.Due, Life: request.Life}})
}

// Claim implements core.Store.
func (d *Store) Claim(request core.KeyedRequest) bool {
	tenant := ""
	if request.Tenant >= 0 {
		tenant = d.opt.Site.Tenants[request.Tenant]
	}
	claim := takeover.KeyedRequest{Key: d.fleetKey(request.Key), Sum: request.Sum, Body: request.Body, Handle: request.Handle,
		Cursor: d.opt.Cursor(), Tenant: tenant, Subject: request.Subject,
		Caller: request.Caller, Rank: request.Rank, Memory: request.Memory, Work: request.Work, Due: request.Left,
		Life: request.Life}
	return d.enqueue(func() {
		if d.pendingDisowns.Load() > 0 || !d.machine.Active(d.now()) {
			d.verdict(takeover.Verdict{Key: claim.Key, ClaimID: uint64(request.ClaimID), State: takeover.Unavailable, Why: "this server holds no lease"})
			return
		}
		d.machine.Claim(d.now(), uint64(request.ClaimID), claim)
	})
}

// Finish implements core.Store. The outcome is reported as finished once it is stored at its replicas.
func (d *Store) Finish(key core.Key, claim core.ClaimID, _ [32]byte, ok bool, result []byte, _ time.Duration) bool {
	result = slices.Clone(result)
	if !d.enqueue(func() { d.machine.Finish(d.now(), d.fleetKey(key), uint64(claim), ok, result, why(ok)) }) {
		d.log.Warn("keys", "do", "finish", "err", "no room")
	}
	return true
}

func why(ok bool) string {
	if ok {
		return ""
	}
	return "its run failed"
}

// Release implements core.Store.
func (d *Store) Release(key core.Key, claim core.ClaimID) {
	if !d.enqueue(func() { d.machine.Release(d.now(), d.fleetKey(key), uint64(claim)) }) {
		d.log.Warn("keys", "do", "release", "err", "no room")
	}
}

// OwnsClaims implements core.Store. A lease of this process's next token does not cover claims that were made under the
// previous one. It is safe for use from any goroutine.
func (d *Store) OwnsClaims() bool {
	token := d.coreToken.Load()
	return token != 0 && d.pendingDisowns.Load() == 0 && d.membership.Holds() && d.membership.Token() == token
}

var _ core.Store = (*Store)(nil)
