package hand

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// pair is a fleet of boxes in which all arrives at once, in order, through the wire's encoding; a is first home of
// every slice, b the second.
func pair(t *testing.T, l Limits, names ...string) (hands map[string]*Hand, turn func(now time.Duration) map[string]Outputs, view func(epoch uint64, now time.Duration, living ...string)) {
	hands = map[string]*Hand{}
	for _, n := range names {
		hands[n] = New(l)
	}
	view = func(epoch uint64, now time.Duration, living ...string) {
		lives, homes := map[string]uint64{}, living[:min(2, len(living))]
		for i, n := range names {
			if strings.Contains(strings.Join(living, " "), n) {
				lives[n] = uint64(i + 1)
			}
		}
		for i, n := range names {
			if n == misses {
				continue
			}
			hands[n].SetView(now, View{Epoch: epoch, Prev: epoch - 1, Self: n, Life: uint64(i + 1), Lives: lives, Homes: func(int) []string { return homes },
				Fresh: func(int) bool { return epoch == 1 }, Pools: map[Owner]string{{"c", 3}: "pool of c"}}, time.Hour)
		}
	}
	turn = func(now time.Duration) map[string]Outputs {
		sum := map[string]Outputs{}
		for more := true; more; {
			more = false
			for _, n := range names {
				out := hands[n].Drain(now)
				s := sum[n]
				s.Verdicts, s.Finished = append(s.Verdicts, out.Verdicts...), append(s.Finished, out.Finished...)
				s.Probes, s.Adopts = append(s.Probes, out.Probes...), append(s.Adopts, out.Adopts...)
				s.Disown = s.Disown || out.Disown
				sum[n] = s
				for _, m := range out.Sends {
					more = true
					b, err := cbor.Marshal(m.Msg)
					var got Msg
					if err == nil {
						err = cbor.Unmarshal(b, &got)
					}
					if d := cmp.Diff(m.Msg, &got, cmp.AllowUnexported(Cand{})); err != nil || d != "" {
						t.Fatalf("%v\n%s", err, d)
					}
					hands[m.To].Receive(now, n, &got)
				}
			}
		}
		return sum
	}
	return
}

func piece(token string) Piece {
	return Piece{Key: Key{"class", token}, Body: []byte(token), Sum: [32]byte{1}, Due: 10 * time.Second, Life: 12 * time.Second}
}

// One key on its way: won in one round, other elsewhere, off with another body, answered with one result by any box;
// the loss of its box before its end has the first home ask the pool, then run it; and past the bound none is taken.
func TestWay(t *testing.T) {
	hands, turn, view := pair(t, Limits{Records: 3, Longest: 12 * time.Second}, "a", "b", "c", "d")
	view(1, 0, "a", "b", "c", "d")
	turn(0)
	say := func(step string, out Outputs, want string) {
		t.Helper()
		var got []string
		for _, v := range out.Verdicts {
			got = append(got, fmt.Sprint(v.Key.Token, " ", v.State, " ", string(v.Result)))
		}
		for _, f := range out.Finished {
			got = append(got, fmt.Sprint(f.Key.Token, " finished ", f.OK))
		}
		for _, p := range out.Probes {
			got = append(got, fmt.Sprint(p.Keys, " probed in ", p.Pool))
		}
		for _, a := range out.Adopts {
			got = append(got, fmt.Sprint(a.Piece.Key.Token, " adopted ", string(a.Piece.Body)))
		}
		if s := strings.TrimSpace(strings.Join(got, ", ")); s != want {
			t.Errorf("%s: %q, not %q", step, s, want)
		}
	}
	hands["c"].Claim(0, piece("x"))
	say("claim", turn(0)["c"], "x won")
	hands["d"].Claim(0, piece("x"))
	say("a repeat elsewhere", turn(0)["d"], "x other")
	p := piece("x")
	p.Sum[0]++
	hands["d"].Claim(0, p)
	say("another body", turn(0)["d"], "x off")
	hands["c"].Finish(time.Second, Key{"class", "x"}, true, []byte("ok"), "")
	hands["c"].Finish(time.Second, Key{"class", "x"}, true, []byte("ok"), "") // twice
	say("its end", turn(time.Second)["c"], "x finished true")
	hands["d"].Claim(time.Second, piece("x"))
	say("a repeat of what ended", turn(time.Second)["d"], "x done ok")
	for _, k := range []string{"y", "z"} {
		hands["c"].Claim(time.Second, piece(k))
		say("claim", turn(time.Second)["c"], k+" won")
	}
	hands["d"].Claim(time.Second, piece("v"))
	say("no room", turn(time.Second)["d"], "v down")
	view(2, 2*time.Second, "a", "b", "d")
	out := turn(2 * time.Second)
	say("its box is lost", out["a"], "[{{class y}  0 true} {{class z}  0 true}] probed in pool of c")
	if !out["c"].Disown {
		t.Error("a lost box disowns nothing")
	}
	hands["a"].Proved(2*time.Second, Key{"class", "y"}, Owner{"c", 3}, Proof{State: NeverRan})
	hands["a"].Proved(2*time.Second, Key{"class", "z"}, Owner{"c", 3}, Proof{State: Ran, OK: true, Result: []byte("far")})
	say("proved", turn(2 * time.Second)["a"], "y adopted y")
	hands["d"].Claim(2*time.Second, piece("z"))
	say("a repeat of what ended with its box", turn(2 * time.Second)["d"], "z done far")
	view(3, 3*time.Second, "d", "b") // a is lost: b makes d whole, d takes over; c's proof stands, a's pool is unknown
	turn(3 * time.Second)
	hands["b"].Claim(3*time.Second, piece("y"))
	say("its taker is lost", turn(3 * time.Second)["b"], "y other")
	hands["d"].Tick(3*time.Second + 100*ms)
	turn(3*time.Second + 100*ms)
	hands["b"].Claim(4*time.Second, piece("y"))
	say("its taker's pool is not known", turn(4 * time.Second)["b"], "y failed")
	for _, n := range []string{"b", "d"} {
		hands[n].Tick(40 * time.Second)
		if f := hands[n].Figures(); f != (Figures{}) {
			t.Errorf("%s: %+v", n, f)
		}
	}
}

// Both homes are lost at once: their slices take no new claim until the longest life of a record is over, and what is
// held meanwhile is known.
func TestQuarantine(t *testing.T) {
	hands, turn, view := pair(t, Limits{Longest: 20 * time.Second, Lag: time.Second}, "a", "b", "c", "d")
	view(1, 0, "a", "b", "c", "d")
	hands["c"].Claim(0, piece("x"))
	turn(0)
	view(2, time.Second, "d", "c")
	for _, k := range []struct {
		at   time.Duration
		key  string
		want State
	}{{time.Second, "y", Down}, {1100 * ms, "x", Other}, {21900 * ms, "y", Down}, {22 * time.Second, "y", Won}} {
		hands["c"].Tick(k.at)
		hands["d"].Tick(k.at)
		turn(k.at)
		hands["d"].Claim(k.at, piece(k.key))
		if v := turn(k.at)["d"].Verdicts; len(v) != 1 || v[0].State != k.want || v[0].Why == "" {
			t.Errorf("at %v: %+v", k.at, v)
		}
	}
}

// Both homes move at once: those of before make the new ones whole. A box that missed a view is whole nowhere: a key
// may have been claimed in it. And an end that a lost box told its second home alone stands before the taker's verdict.
func TestMoves(t *testing.T) {
	hands, turn, view := pair(t, Limits{Longest: 12 * time.Second}, "a", "b", "c", "d")
	claim := func(step, box, key string, want State) {
		t.Helper()
		turn(0)
		hands[box].Claim(0, piece(key))
		if v := turn(0)[box].Verdicts; len(v) != 1 || v[0].State != want {
			t.Errorf("%s: %+v", step, v)
		}
	}
	view(1, 0, "a", "b", "c", "d")
	claim("whole", "c", "x", Won)
	view(2, 0, "d", "c", "a", "b")
	claim("a repeat after both homes moved", "a", "x", Other)
	claim("both homes moved", "a", "y", Won)
	view(3, 0, "a", "b", "c", "d")
	turn(0)
	hands["c"].Finish(0, Key{"class", "x"}, true, []byte("ok"), "")
	for _, s := range hands["c"].Drain(0).Sends {
		if s.To == "b" {
			hands["b"].Receive(0, "c", s.Msg)
		}
	}
	view(4, 0, "a", "b", "d")
	turn(0)
	hands["a"].Proved(0, Key{"class", "x"}, Owner{"c", 3}, Proof{State: Unknown})
	claim("the second home knows its end", "d", "x", Done)
	misses = "a"
	defer func() { misses = "" }()
	view(5, 0, "d", "b", "a")
	claim("claimed while a is behind", "b", "z", Won)
	misses = ""
	view(6, 0, "a")
	claim("a missed a view", "a", "z", Down)
}

var misses string // a box that does not get a view of pair

// What a record takes at a home beyond its body.
func TestBytesOfRecord(t *testing.T) {
	const n = 20_000
	h := New(Limits{})
	h.SetView(0, View{Epoch: 1, Self: "a", Life: 1, Lives: map[string]uint64{"a": 1, "b": 2}, Homes: func(int) []string { return []string{"a"} }, Fresh: func(int) bool { return true }}, time.Hour)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	was := heap()
	for i := range n {
		p := Piece{Key: Key{"class", fmt.Sprintf("token-of-a-caller-%08d", i)}, Due: time.Second, Life: time.Minute}
		h.Receive(0, "b", &Msg{Epoch: 1, Life: 2, Items: []Item{{Kind: kClaim, Key: p.Key, Try: uint64(i + 1), Piece: &p}}})
		h.Drain(0)
	}
	each := (heap() - was) / n
	if t.Logf("%d bytes a record at each home", each); h.records != n || each > 1200 {
		t.Errorf("%d records of %d bytes", h.records, each)
	}
	runtime.KeepAlive(h)
}
