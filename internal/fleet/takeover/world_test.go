package takeover

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const ms = time.Millisecond

var simLimits = Limits{MaxRetention: 12 * time.Second, MaxViewLag: time.Second, MaxAdopted: 3, RetryInterval: 100 * ms}

const (
	leaseFor = 600 * ms
	dueIn    = 2500 * ms
	step     = 10 * ms
)

// server is a simulated server: its process has a Machine and a core, which knows its calls and what its pool runs for
// it.
type server struct {
	name         string
	machine      *Machine
	token        uint64
	applied      int           // number of views
	nextView     time.Duration // when the next view is applied, if there is one
	leaseEnd     time.Duration // end of its lease according to the log
	stoppedUntil time.Duration // until then it does nothing
	downUntil    time.Duration // until then there is no process; 0 = there is one
	cutUntil     time.Duration // until then it is cut off from all others
	calls        map[Key]*call
}

type call struct {
	claimID    uint64 // of its latest claim; 0 = it was taken over
	request    KeyedRequest
	started    time.Duration
	askAgainAt time.Duration // when the core asks again; 0 = it waits for an answer
	askedAt    int64         // logical time of the latest claim
	running    bool
	failed     bool
	finishedAt int64 // logical time of its Finish
}

type run struct {
	at, end  time.Duration
	result   string
	server   *server
	token    uint64
	reported bool
}

// workerPool is the worker pool of one process, which it may outlive.
type workerPool struct {
	dead, fenced bool
	runs         map[string]*run // by handle
}

type packet struct {
	at       time.Duration
	from, to string
	message  *Message
}

// world is a fleet in virtual time.
type world struct {
	random       *rand.Rand // nil = nothing is random
	injected     defects
	now          time.Duration
	servers      []*server
	packets      []packet
	pending      []func() // pending actions of the pools
	views        []View
	shards       map[int]bool // the shards of the keys
	pools        map[Owner]*workerPool
	unknownPools map[Owner]bool
	runCount     map[Key]int    // number of runs
	firstResult  map[Key]string // the first result that was answered
	answerCount  map[Key]int    // number of answers
	ops          []op
	clock        int64
	events       []string
	violation    string
	loss         int           // per mille
	maxDelay     time.Duration // maximum delay of a message
	stats        map[string]int
	lastClaimID  uint64
	lastCall     int
}

func (w *world) logf(f string, a ...any) {
	w.events = append(w.events, fmt.Sprintf("%6d ", w.now/ms)+fmt.Sprintf(f, a...))
}

func (w *world) fail(f string, a ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(f, a...)
		w.logf("%s", w.violation)
	}
}

func (w *world) chance(n int) bool { return w.random != nil && w.random.IntN(1000) < n }

func (w *world) delay(longest time.Duration) time.Duration {
	if w.random == nil {
		return step
	}
	return 1*ms + time.Duration(w.random.Int64N(int64(longest)))
}

func newWorld(rnd *rand.Rand, count int, keys []Key, injected defects) *world {
	w := &world{random: rnd, injected: injected, now: time.Second, shards: map[int]bool{},
		pools: map[Owner]*workerPool{}, unknownPools: map[Owner]bool{}, maxDelay: 20 * ms,
		runCount: map[Key]int{}, firstResult: map[Key]string{}, answerCount: map[Key]int{}, stats: map[string]int{}}
	for _, key := range keys {
		w.shards[key.Shard()] = true
	}
	lives := map[string]uint64{}
	for i := range count {
		server := &server{name: fmt.Sprintf("n%02d", i), machine: New(simLimits)}
		server.machine.injected = injected
		w.servers = append(w.servers, server)
		w.register(server, lives)
	}
	w.addView(lives)
	return w
}

func (w *world) register(server *server, lives map[string]uint64) {
	w.clock++
	server.token, server.leaseEnd, server.calls = uint64(w.clock), w.now+leaseFor, map[Key]*call{}
	lives[server.name] = server.token
	owner := Owner{server.name, server.token}
	w.pools[owner] = &workerPool{runs: map[string]*run{}}
	w.unknownPools[owner] = w.chance(100)
}

// addView adds a view that the log agrees on. Replicas are assigned by rendezvous hashing.
func (w *world) addView(lives map[string]uint64) {
	w.clock++
	added := View{Epoch: uint64(w.clock), Tokens: lives, Pools: map[Owner]string{}}
	if count := len(w.views); count > 0 {
		added.Prev = w.views[count-1].Epoch
	}
	names := slices.Sorted(maps.Keys(lives))
	replicas := map[int][]string{}
	for shard := range w.shards {
		order := slices.Clone(names)
		score := func(name string) uint64 { return xxhash.Sum64(strconv.AppendInt([]byte(name), int64(shard), 10)) }
		slices.SortFunc(order, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
		replicas[shard] = order[:min(2, len(order))]
	}
	added.Replicas = func(shard int) []string { return replicas[shard] }
	isFirst := len(w.views) == 0
	added.NewShard = func(int) bool { return isFirst }
	for owner := range w.pools {
		if !w.unknownPools[owner] {
			added.Pools[owner] = owner.Box
		}
	}
	w.views = append(w.views, added)
	w.logf("view %d: %v", added.Epoch, lives)
}

// step advances the whole fleet by 10 ms.
func (w *world) step() {
	w.now += step
	w.updateLeases()
	for _, server := range w.servers {
		if !w.awake(server) {
			continue
		}
		for server.applied < len(w.views) && (server.nextView <= w.now || server.applied == 0) {
			if w.chance(100) { // from a snapshot of the log: the views in between are skipped
				server.applied = len(w.views) - 1
			}
			view := w.views[server.applied]
			server.applied++
			server.nextView = w.now + w.delay(150*ms)
			view.Self, view.Token = server.name, server.machine.view.Token
			if server.machine.disowned { // a process applies only views with its own registration
				view.Token = server.token
				if server.token == 0 || view.Tokens[server.name] != server.token {
					continue
				}
			}
			leaseEnd := time.Duration(0)
			if view.Token == server.token {
				leaseEnd = server.leaseEnd
			}
			server.machine.SetView(w.now, view, leaseEnd)
			w.drain(server)
		}
		if server.cutUntil == 0 {
			server.machine.ExtendLease(server.token, server.leaseEnd)
		}
		if w.now%(100*ms) == 0 {
			server.machine.Tick(w.now)
		}
		w.drain(server)
		w.runCore(server)
	}
	arriving := w.packets
	w.packets = nil
	for _, p := range arriving {
		server := w.server(p.to)
		switch {
		case p.at > w.now || server.stoppedUntil > w.now:
			w.packets = append(w.packets, p)
		case server.downUntil == 0 && server.cutUntil == 0 && w.server(p.from).cutUntil == 0:
			server.machine.Receive(w.now, p.from, p.message)
			w.drain(server)
		}
	}
	pending := w.pending
	w.pending = nil
	for _, action := range pending {
		action()
	}
}

func (w *world) awake(b *server) bool { return b.downUntil == 0 && b.stoppedUntil <= w.now }

func (w *world) server(name string) *server {
	return w.servers[slices.IndexFunc(w.servers, func(b *server) bool { return b.name == name })]
}

// updateLeases renews the leases of connected servers, and declares servers expired whose lease has ended. They
// register again under new tokens.
func (w *world) updateLeases() {
	previous := w.views[len(w.views)-1].Tokens
	lives := maps.Clone(previous)
	for _, server := range w.servers {
		if server.cutUntil != 0 && server.cutUntil <= w.now {
			server.cutUntil = 0
		}
		if server.downUntil != 0 && server.downUntil <= w.now && lives[server.name] == 0 {
			server.downUntil, server.machine, server.applied, server.token = 0, New(simLimits), 0, 0
			server.machine.injected = w.injected
		}
		switch {
		case lives[server.name] == 0 && w.awake(server) && server.cutUntil == 0:
			w.register(server, lives)
			server.nextView = w.now + 2*step
		case lives[server.name] != 0 && w.awake(server) && server.cutUntil == 0 && w.now < server.leaseEnd &&
			!server.machine.disowned && lives[server.name] == server.token:
			server.leaseEnd = w.now + leaseFor
		case lives[server.name] != 0 && w.now >= server.leaseEnd+50*ms:
			delete(lives, server.name)
		}
	}
	if !maps.Equal(previous, lives) {
		w.addView(lives)
	}
}

// drain carries out the outputs of a server's Machine.
func (w *world) drain(server *server) {
	out := server.machine.TakeOutputs(w.now)
	if out.Disown {
		w.logf("%s disowns", server.name)
		server.calls = map[Key]*call{}
	}
	for _, send := range out.Sends {
		if w.chance(w.loss) {
			continue
		}
		w.packets = append(w.packets, packet{w.now + w.delay(w.maxDelay), server.name, send.To, send.Msg})
		if w.chance(w.loss) {
			w.packets = append(w.packets, packet{w.now + w.delay(20*w.maxDelay), server.name, send.To, send.Msg})
		}
	}
	for _, verdict := range out.Verdicts {
		w.logf("%s: %s %v %q %s", server.name, verdict.Key.Token, verdict.State, verdict.Result, verdict.Why)
		w.verdict(server, verdict)
	}
	for _, adopt := range out.Adopts {
		w.logf("%s adopts %s", server.name, adopt.Piece.Key.Token)
		w.stats["adopted"]++
		w.clock++
		w.op(adopt.Piece.Key, Unavailable, "adopted", w.clock)
		server.calls[adopt.Piece.Key] = &call{request: adopt.Piece, started: w.now, running: true}
		w.startRun(server, adopt.Piece.Key)
	}
	for _, finished := range out.Finished {
		request := server.calls[finished.Key]
		if request == nil || request.claimID != finished.ClaimID {
			continue
		}
		delete(server.calls, finished.Key)
		switch current := w.pools[Owner{server.name, server.token}].runs[request.request.Handle]; {
		case finished.OK && request.failed:
			w.op(finished.Key, Failed, "", request.finishedAt)
		case finished.OK:
			w.answer(server, finished.Key, current.result)
			w.op(finished.Key, Done, current.result, request.finishedAt)
		}
	}
	for _, probe := range out.Probes {
		w.pending = append(w.pending, func() { w.probe(server, probe) })
	}
}

// verdict is the core's reaction to the answer to a claim.
func (w *world) verdict(server *server, verdict Verdict) {
	request := server.calls[verdict.Key]
	if request == nil || request.running || request.claimID != verdict.ClaimID && !w.injected.claimIDIgnored {
		if verdict.State == Won {
			server.machine.Release(w.now, verdict.Key, verdict.ClaimID)
			w.drain(server)
		}
		return
	}
	switch verdict.State {
	case Won:
		w.op(verdict.Key, Won, "", request.askedAt)
		if w.chance(30) {
			w.clock++
			w.op(verdict.Key, HeldElsewhere, "released", w.clock)
			delete(server.calls, verdict.Key)
			server.machine.Release(w.now, verdict.Key, verdict.ClaimID)
			w.drain(server)
			return
		}
		request.running = true
		w.startRun(server, verdict.Key)
	case HeldElsewhere, Unavailable:
		request.askAgainAt = w.now + max(100*ms, verdict.After)
	case Done, Failed, BodyMismatch:
		delete(server.calls, verdict.Key)
		w.stats[verdict.State.String()]++
		if verdict.State == Done {
			w.answer(server, verdict.Key, string(verdict.Result))
		}
		w.op(verdict.Key, verdict.State, string(verdict.Result), request.askedAt)
	}
}

// answer checks an answer that leaves a server.
func (w *world) answer(server *server, key Key, result string) {
	w.answerCount[key]++
	w.stats["answered"]++
	if w.now >= server.leaseEnd || w.views[len(w.views)-1].Tokens[server.name] != server.token {
		w.fail("%s answers %s without a lease", server.name, key.Token)
	}
	if w.firstResult[key] == "" {
		w.firstResult[key] = result
	}
	if w.firstResult[key] != result {
		w.fail("%s answers %s with %s, the first answer was %s", server.name, key.Token, result, w.firstResult[key])
	}
}

// startRun gives a request to the server's pool, which receives it after a delay.
func (w *world) startRun(server *server, key Key) {
	pool, token, at := w.pools[Owner{server.name, server.token}], server.token, w.now+w.delay(2*w.maxDelay)
	repeat, handle := server.calls[key].request.Repeat, server.calls[key].request.Handle
	var deliver func()
	deliver = func() {
		switch {
		case w.now < at:
			w.pending = append(w.pending, deliver)
		case pool.dead || pool.fenced || pool.runs[handle] != nil:
		default:
			w.runCount[key]++
			w.logf("%s runs %s", server.name, key.Token)
			pool.runs[handle] = &run{at: w.now, end: w.now + w.delay(900*ms) + 50*ms,
				result: fmt.Sprintf("%s-%s-%d", key.Token, server.name, token), server: server, token: token}
			if w.runCount[key] > 1 && !repeat {
				w.fail("%s ran %d times", key.Token, w.runCount[key])
			}
		}
	}
	w.pending = append(w.pending, deliver)
}

// runCore asks again for keys, and reports runs that have finished.
func (w *world) runCore(server *server) {
	for _, key := range sortedKeys(server.calls) {
		request := server.calls[key]
		pool := w.pools[Owner{server.name, server.token}]
		switch current := pool.runs[request.request.Handle]; {
		case request.running && current != nil && current.end <= w.now && !current.reported && !pool.dead:
			w.clock++
			current.reported, request.finishedAt = true, w.clock
			server.machine.Finish(w.now, key, request.claimID, true, []byte(current.result), "")
			w.drain(server)
		case request.running && request.finishedAt == 0 && (pool.dead || pool.fenced) && w.now-request.started > time.Second:
			w.clock++
			request.finishedAt, request.failed = w.clock, true
			server.machine.Finish(w.now, key, request.claimID, false, nil, "its pool died")
			w.drain(server)
		case !request.running && w.now-request.started > dueIn:
			server.machine.Release(w.now, key, request.claimID)
			delete(server.calls, key)
		case !request.running && request.askAgainAt == 0 && w.chance(withdrawalsPerMille):
			w.withdraw(server, request)
		case request.askAgainAt != 0 && request.askAgainAt <= w.now:
			w.ask(server, request)
		}
	}
}

func (w *world) ask(server *server, request *call) {
	w.clock++
	request.askAgainAt, request.askedAt = 0, w.clock
	request.request.Due = dueIn - (w.now - request.started)
	w.lastClaimID++
	request.claimID = w.lastClaimID
	server.machine.Claim(w.now, request.claimID, request.request)
	w.drain(server)
}

// withdrawalsPerMille is how often in a thousand steps the caller of a request hangs up that waits for an answer to its
// claim.
const withdrawalsPerMille = 30

// withdraw has the caller of a request hang up, and sometimes call again at once: its next try has another handle.
func (w *world) withdraw(server *server, request *call) {
	key := request.request.Key
	delete(server.calls, key)
	w.stats["withdrawn"]++
	if !w.injected.claimIDIgnored {
		server.machine.Release(w.now, key, request.claimID)
		w.drain(server)
	}
	if w.chance(500) {
		w.call(server, key, request.request.Repeat)
	}
}

// call is a caller's request at a server.
func (w *world) call(server *server, key Key, repeat bool) {
	if w.awake(server) && server.machine.Active(w.now) && server.calls[key] == nil {
		w.lastCall++
		request := &call{request: KeyedRequest{Key: key, Handle: strconv.Itoa(w.lastCall), Body: []byte(key.Token), Life: 11 * time.Second, Repeat: repeat},
			started: w.now}
		server.calls[key] = request
		w.stats["calls"]++
		w.ask(server, request)
	}
}

// probe connects to the pool of a lost process, which excludes that process.
func (w *world) probe(server *server, request Probe) {
	pool := w.pools[request.Owner]
	pool.fenced = pool.fenced || !pool.dead
	for _, asked := range request.Keys {
		key := asked.Key
		proof := Proof{State: NeverRan}
		switch current := pool.runs[asked.Handle]; {
		case pool.dead:
			proof.State = Unknown
		case current != nil && current.end <= w.now:
			proof = Proof{State: Ran, OK: true, Result: []byte(current.result)}
		case current != nil:
			proof.State = Running
		}
		w.logf("%s learns about %s from the pool of %s: %d", server.name, key.Token, request.Owner.Box, proof.State)
		if w.awake(server) {
			server.machine.HandleProof(w.now, key, request.Owner, proof)
			w.drain(server)
		}
	}
}

// kill ends a process, and with pool its worker pool too.
func (w *world) kill(server *server, pool bool) {
	w.logf("%s is killed, its pool %v", server.name, pool)
	server.downUntil, server.calls = w.now+900*ms, map[Key]*call{}
	w.pools[Owner{server.name, server.token}].dead = pool
}

func (w *world) report(t *testing.T, f string, a ...any) {
	t.Helper()
	start := max(0, len(w.events)-3000)
	t.Fatalf("%s: %s\n%s", fmt.Sprintf(f, a...), w.violation, strings.Join(w.events[start:], "\n"))
}
