package takeover

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

var (
	seeds = flag.Uint64("seeds", 50, "number of simulated histories")
	first = flag.Uint64("first", 1, "seed of the first history, to replay one")
)

// op is what a core learned about a key, and the logical times between which it took effect.
type op struct {
	key       Key
	state     ClaimState
	result    string
	call, ret int64
}

func (w *world) op(key Key, state ClaimState, result string, call int64) {
	w.clock++
	w.ops = append(w.ops, op{key, state, result, call, w.clock})
}

// checkLinearizable checks with porcupine that what all cores learned about a key can be ordered by one rule: it is won
// once unless it was released, its result is unique, and a key that failed or finished is not won again.
func (w *world) checkLinearizable() {
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			current, operation := state.(string), input.(op)
			switch operation.state {
			case Won:
				return current == "", "won"
			case HeldElsewhere: // released
				return current == "won", ""
			case Unavailable: // taken over
				return current == "" || current == "won", "won"
			case Done:
				return current == "won" || current == "done "+operation.result, "done " + operation.result
			}
			if strings.HasPrefix(current, "done") { // all processes that knew the result are lost: it may have run
				return true, current
			}
			return true, "failed"
		},
	}
	byKey := map[Key][]porcupine.Operation{}
	for i, operation := range w.ops {
		byKey[operation.key] = append(byKey[operation.key],
			porcupine.Operation{ClientId: i, Input: operation, Call: operation.call, Return: operation.ret})
	}
	for _, key := range sortedKeys(byKey) {
		if porcupine.CheckOperationsTimeout(model, byKey[key], 20*time.Second) != porcupine.Ok {
			w.fail("the operations on %s cannot be linearized: %v", key.Token, byKey[key])
		}
	}
}

// runHistory runs one history: faults for 20 s, then none until everything has expired.
func runHistory(seed uint64, injected defects) *world {
	rnd := rand.New(rand.NewPCG(seed, 7))
	count := 5 + rnd.IntN(4)
	if seed%10 == 0 {
		count = 5 + rnd.IntN(26)
	}
	keys := make([]Key, 60)
	for i := range keys {
		keys[i] = Key{"class", fmt.Sprintf("k%d", i)}
	}
	w := newWorld(rnd, count, keys, injected)
	w.loss = []int{0, 20, 150}[rnd.IntN(3)]
	faultRate := 1 + rnd.IntN(20)
	for w.now < 46*time.Second && w.violation == "" {
		calm := w.now >= 20*time.Second
		if calm {
			w.loss = 0
		}
		for i, key := range keys {
			born := time.Second + 200*ms + time.Duration(i)*340*ms
			if elapsed := w.now - born; elapsed == 0 || elapsed > 0 && elapsed < 4*time.Second && w.chance(20) {
				w.call(w.servers[rnd.IntN(count)], key, i%5 == 0)
			}
		}
		if server := w.servers[rnd.IntN(count)]; !calm && server.token != 0 && w.awake(server) && w.chance(faultRate) {
			switch duration := 100*ms + time.Duration(rnd.Int64N(int64(1500*ms))); rnd.IntN(4) {
			case 0:
				w.kill(server, w.chance(300))
			case 1:
				w.logf("%s is stopped for %v", server.name, duration)
				server.stoppedUntil = w.now + duration
			case 2:
				w.logf("%s is cut off for %v", server.name, duration)
				server.cutUntil = w.now + duration
			case 3:
				if w.chance(200) { // all replicas of a key at once
					for _, name := range w.views[len(w.views)-1].Replicas(keys[int(w.now/(340*ms))%len(keys)].Shard()) {
						if server := w.server(name); server.token != 0 && w.awake(server) {
							w.kill(server, w.chance(500))
						}
					}
				} else {
					w.kill(server, true)
				}
			}
		}
		w.step()
		for _, server := range w.servers {
			if w.now == 31*time.Second { // everything that was claimed is past its due time
				for _, record := range server.machine.openRecords {
					if shard := &server.machine.shards[record.shard]; shard.role == 1 && shard.inSync &&
						shard.records[record.request.Key] == record && record.outcome == nil {
						w.fail("%s has no outcome at %s: %+v", record.request.Key.Token, server.name, record.candidates)
					}
				}
			}
		}
	}
	for _, server := range w.servers {
		if figures := server.machine.Metrics(); w.violation == "" && (figures != Metrics{}) {
			w.fail("%s keeps expired records: %+v", server.name, figures)
		}
	}
	if w.violation == "" {
		w.checkLinearizable()
	}
	return w
}

// Under crashes, stops, partitions and lost messages no key runs twice, all answers for a key are the same, none is sent
// without a lease, every request gets an outcome, and all records expire.
func TestHistories(t *testing.T) {
	t.Parallel()
	totals := map[string]int{}
	for seed := *first; seed < *first+*seeds; seed++ {
		world := runHistory(seed, defects{})
		if world.violation != "" {
			world.report(t, "seed %d", seed)
		}
		for name, count := range world.stats {
			totals[name] += count
		}
		totals["views"] += len(world.views)
		for _, count := range world.runCount {
			totals["runs"] += count
		}
	}
	t.Logf("%d histories: %v", *seeds, totals)
	if *seeds >= 50 && (totals["adopted"] == 0 || totals["done"] == 0 || totals["failed"] == 0) {
		t.Errorf("some outcomes did not occur: %v", totals)
	}
}
