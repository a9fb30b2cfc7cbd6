package takeover

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var explorerRuns = flag.Int("runs", 4000,
	"number of the explorer's runs with two faults, for each pair of servers that are called")

// fault is one fault of a server at a step of an otherwise regular run.
type fault struct{ step, kind, server int }

var faultNames = []string{"killed", "killed with its pool", "stopped", "cut off", "its messages are late",
	"messages to it are lost", "its messages are repeated", "its view is late"}

// apply injects the fault, if the server has a running process.
func (w *world) apply(f fault) {
	target := w.servers[f.server]
	if target.token == 0 || !w.awake(target) {
		return
	}
	switch f.kind {
	case 0, 1:
		w.kill(target, f.kind == 1)
	case 2:
		target.stoppedUntil = w.now + 1200*ms
	case 3:
		target.cutUntil = w.now + 700*ms
	case 7:
		target.nextView = w.now + 900*ms
	default:
		remaining := w.packets[:0:0]
		for _, p := range w.packets {
			hit := f.hits(p, target.name)
			if !hit || f.kind == 6 {
				remaining = append(remaining, p)
			}
			if p.at += 300 * ms; hit && f.kind != 5 {
				remaining = append(remaining, p)
			}
		}
		w.packets = remaining
	}
	w.logf("%s: %s", target.name, faultNames[f.kind])
}

// hits reports whether a fault of messages affects a packet.
func (f fault) hits(p packet, server string) bool {
	return f.kind == 5 && p.to == server || f.kind != 5 && p.from == server
}

// stateHash returns a hash of everything that the rest of a run depends on.
func (w *world) stateHash() uint64 {
	digest := xxhash.New()
	for _, server := range w.servers {
		fmt.Fprint(digest, server.token, server.applied, max(0, server.nextView-w.now), max(0, server.leaseEnd-w.now),
			max(0, server.stoppedUntil-w.now), server.downUntil, server.cutUntil, server.machine.disowned,
			len(server.calls))
		for key, claim := range server.machine.claims {
			fmt.Fprint(digest, key, claim.try, claim.state, claim.primaryWon, claim.backupAcked, claim.storedBy,
				claim.outcome != nil, claim.finished)
		}
		for i := range w.shards {
			shard := &server.machine.shards[i]
			fmt.Fprint(digest, shard.role, shard.inSync, shard.source)
			for _, record := range shard.records {
				fmt.Fprint(digest, record.candidates, record.owner, record.outcome != nil, record.sealed,
					record.takeoverTry, record.putNumber)
			}
		}
	}
	for _, p := range w.packets {
		fmt.Fprint(digest, p.from, p.to, p.at-w.now, p.message.Epoch, len(p.message.Items))
	}
	return digest.Sum64()
}

// replay runs three servers with faults: one key, called at one server, again at another, then at all.
func replay(injected defects, callers [2]int, faults []fault, onStep func(w *world, i int)) *world {
	key := Key{"class", "k"}
	w := newWorld(nil, 3, []Key{key}, injected)
	for i := 0; i < 500 && w.violation == ""; i++ {
		switch {
		case i == 4:
			w.call(w.servers[callers[0]], key, false)
		case i == 8 || i == 60 || i == 130:
			w.call(w.servers[callers[1]], key, false)
		case i >= 160 && i%40 == 0:
			w.call(w.servers[i/40%3], key, false)
		}
		for _, f := range faults {
			if f.step == i {
				w.apply(f)
			}
		}
		if onStep != nil && i >= 4 && i < 220 {
			onStep(w, i)
		}
		w.step()
	}
	for _, server := range w.servers {
		for _, record := range server.machine.openRecords {
			if shard := &server.machine.shards[record.shard]; w.violation == "" && shard.role == 1 && shard.inSync &&
				record.outcome == nil && record.due < w.now-time.Second {
				w.fail("%s has no outcome at %s: %+v", record.request.Key.Token, server.name, record.candidates)
			}
		}
	}
	if w.violation == "" {
		w.checkLinearizable()
	}
	return w
}

// explore runs every single fault at every step where it makes a difference, and second faults from each distinct state
// that these lead to, as many as runs allows. It returns the first run that violates an invariant.
func explore(injected defects, callers [2]int, runs int) (violating *world, faults []fault, played, states int) {
	seen := map[uint64]bool{}
	var takeoverFaults [][]fault // second faults after runs in which a request was taken over
	expand := func(prefix []fault) [][]fault {
		var added [][]fault
		from := 0
		if len(prefix) > 0 {
			from = prefix[len(prefix)-1].step + 1
		}
		w := replay(injected, callers, prefix, func(w *world, i int) {
			if state := w.stateHash(); i >= from && !seen[state] {
				seen[state] = true
				put := slices.ContainsFunc(w.packets, func(p packet) bool {
					return slices.ContainsFunc(p.message.Items, func(item Item) bool { return item.Kind == kindPut })
				})
				for kind := range faultNames {
					for server := range w.servers {
						if kind < 4 && i > 40 && i%6 != 0 && !put || kind == 7 && i%6 != 0 {
							continue // nothing else happens in so short a time
						}
						next := fault{i, kind, server}
						if kind < 4 || kind == 7 ||
							slices.ContainsFunc(w.packets,
								func(p packet) bool { return next.hits(p, w.servers[server].name) }) {
							added = append(added, append(slices.Clone(prefix), next))
						}
					}
				}
			}
		})
		if played++; w.violation != "" && violating == nil {
			violating, faults = w, prefix
		}
		if w.stats["adopted"] > 0 {
			takeoverFaults, added = append(takeoverFaults, added...), nil
		}
		return added
	}
	singleFaults := expand(nil)
	var secondFaults [][]fault
	for _, next := range singleFaults {
		if secondFaults = append(secondFaults, expand(next)...); violating != nil {
			return violating, faults, played, len(seen)
		}
	}
	for _, list := range [][][]fault{takeoverFaults, secondFaults} { // so that the runs are a sample of all parts
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(list), reflect.Swapper(list))
	}
	for _, next := range append(takeoverFaults[:min(runs/2, len(takeoverFaults))],
		secondFaults[:min(runs/2, len(secondFaults))]...) {
		if played++; violating == nil {
			if w := replay(injected, callers, next, nil); w.violation != "" {
				return w, next, played, len(seen)
			}
		}
	}
	return violating, faults, played, len(seen)
}

func TestExplore(t *testing.T) {
	t.Parallel()
	for first := range 3 {
		for second := range 3 {
			if *explorerRuns <= 4000 && second != (first+1)%3 {
				continue
			}
			t.Run(fmt.Sprint(first, second), func(t *testing.T) {
				t.Parallel()
				w, faults, played, states := explore(defects{}, [2]int{first, second}, *explorerRuns/40)
				if w != nil {
					w.report(t, "%v", faults)
				}
				t.Logf("%d runs, %d states", played, states)
			})
		}
	}
}
