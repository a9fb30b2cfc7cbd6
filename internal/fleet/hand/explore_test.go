package hand

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

var depth = flag.Int("runs", 4000, "runs of the explorer with two faults, for each pair of boxes that are called")

// fault is one thing that goes wrong with a box at a step of an otherwise plain run.
type fault struct{ at, kind, box int }

var faultNames = []string{"killed", "killed with its pool", "stopped", "cut off", "its messages come late", "messages to it are lost", "its messages come twice", "its view is late"}

// apply does it, if there is a process.
func (w *world) apply(f fault) {
	b := w.boxes[f.box]
	if b.life == 0 || !w.awake(b) {
		return
	}
	switch f.kind {
	case 0, 1:
		w.kill(b, f.kind == 1)
	case 2:
		b.frozen = w.now + 1200*ms
	case 3:
		b.cut = w.now + 700*ms
	case 7:
		b.next = w.now + 900*ms
	default:
		kept := w.net[:0:0]
		for _, p := range w.net {
			hit := f.hits(p, b.name)
			if !hit || f.kind == 6 {
				kept = append(kept, p)
			}
			if p.at += 300 * ms; hit && f.kind != 5 {
				kept = append(kept, p)
			}
		}
		w.net = kept
	}
	w.note("%s: %s", b.name, faultNames[f.kind])
}

// hits tells that a fault of messages concerns one.
func (f fault) hits(p packet, box string) bool {
	return f.kind == 5 && p.to == box || f.kind != 5 && p.from == box
}

// print is a hash of all that the rest of a run depends on.
func (w *world) print() uint64 {
	d := xxhash.New()
	for _, b := range w.boxes {
		fmt.Fprint(d, b.life, b.applied, max(0, b.next-w.now), max(0, b.granted-w.now), max(0, b.frozen-w.now), b.down, b.cut, b.h.over, len(b.calls))
		for k, x := range b.h.mine {
			fmt.Fprint(d, k, x.try, x.state, x.won, x.ack, x.told, x.end != nil, x.finished)
		}
		for i := range w.homes {
			s := &b.h.slices[i]
			fmt.Fprint(d, s.place, s.whole, s.from)
			for _, r := range s.recs {
				fmt.Fprint(d, r.cands, r.owner, r.end != nil, r.sealed, r.take, r.put)
			}
		}
	}
	for _, p := range w.net {
		fmt.Fprint(d, p.from, p.to, p.at-w.now, p.m.Epoch, len(p.m.Items))
	}
	return d.Sum64()
}

// replay plays a run of three boxes with faults: one key, called at one box and again at another, then at all.
func replay(bug defects, callers [2]int, faults []fault, at func(w *world, i int)) *world {
	k := Key{"class", "k"}
	w := newWorld(nil, 3, []Key{k}, bug)
	for i := 0; i < 500 && w.bad == ""; i++ {
		switch {
		case i == 4:
			w.call(w.boxes[callers[0]], k, false)
		case i == 8 || i == 60 || i == 130:
			w.call(w.boxes[callers[1]], k, false)
		case i >= 160 && i%40 == 0:
			w.call(w.boxes[i/40%3], k, false)
		}
		for _, f := range faults {
			if f.at == i {
				w.apply(f)
			}
		}
		if at != nil && i >= 4 && i < 220 {
			at(w, i)
		}
		w.step()
	}
	for _, b := range w.boxes {
		for _, r := range b.h.open {
			if s := &b.h.slices[r.slice]; w.bad == "" && s.place == 1 && s.whole && r.end == nil && r.due < w.now-time.Second {
				w.fail("%s has no end at %s: %+v", r.p.Key.Token, b.name, r.cands)
			}
		}
	}
	if w.bad == "" {
		w.linear()
	}
	return w
}

// explore plays every single fault at every step where it changes something, and from the states that these lead to,
// each taken once, second faults, as many as runs allows. It gives the first run that breaks an invariant.
func explore(bug defects, callers [2]int, runs int) (bad *world, faults []fault, played, states int) {
	seen := map[uint64]bool{}
	var first [][]fault // second faults of runs in which a piece was taken over
	expand := func(prefix []fault) [][]fault {
		var out [][]fault
		from := 0
		if len(prefix) > 0 {
			from = prefix[len(prefix)-1].at + 1
		}
		w := replay(bug, callers, prefix, func(w *world, i int) {
			if h := w.print(); i >= from && !seen[h] {
				seen[h] = true
				put := slices.ContainsFunc(w.net, func(p packet) bool {
					return slices.ContainsFunc(p.m.Items, func(it Item) bool { return it.Kind == kPut })
				})
				for kind := range faultNames {
					for b := range w.boxes {
						if kind < 4 && i > 40 && i%6 != 0 && !put || kind == 7 && i%6 != 0 {
							continue // nothing else happens in so short a time
						}
						f := fault{i, kind, b}
						if kind < 4 || kind == 7 || slices.ContainsFunc(w.net, func(p packet) bool { return f.hits(p, w.boxes[b].name) }) {
							out = append(out, append(slices.Clone(prefix), f))
						}
					}
				}
			}
		})
		if played++; w.bad != "" && bad == nil {
			bad, faults = w, prefix
		}
		if w.stats["adopted"] > 0 {
			first, out = append(first, out...), nil
		}
		return out
	}
	level := expand(nil)
	var next [][]fault
	for _, f := range level {
		if next = append(next, expand(f)...); bad != nil {
			return bad, faults, played, len(seen)
		}
	}
	for _, l := range [][][]fault{first, next} { // those that are played are of all parts
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(l), reflect.Swapper(l))
	}
	for _, f := range append(first[:min(runs/2, len(first))], next[:min(runs/2, len(next))]...) {
		if played++; bad == nil {
			if w := replay(bug, callers, f, nil); w.bad != "" {
				return w, f, played, len(seen)
			}
		}
	}
	return bad, faults, played, len(seen)
}

func TestExplore(t *testing.T) {
	t.Parallel()
	for a := range 3 {
		for b := range 3 {
			if *depth <= 4000 && b != (a+1)%3 {
				continue
			}
			t.Run(fmt.Sprint(a, b), func(t *testing.T) {
				t.Parallel()
				w, faults, played, states := explore(defects{}, [2]int{a, b}, *depth/40)
				if w != nil {
					w.report(t, "%v", faults)
				}
				t.Logf("%d runs, %d states", played, states)
			})
		}
	}
}
