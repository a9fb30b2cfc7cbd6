package takeover

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// newServers returns a fleet in which all messages arrive at once, in order and in the wire encoding. The first
// registered server is the primary of every shard, the second the backup.
func newServers(t *testing.T, limits Limits, names ...string) (servers map[string]*Machine,
	deliver func(now time.Duration) map[string]Outputs,
	setView func(epoch uint64, now time.Duration, registered ...string)) {
	servers = map[string]*Machine{}
	for _, name := range names {
		servers[name] = New(limits)
	}
	setView = func(epoch uint64, now time.Duration, registered ...string) {
		tokens, replicas := map[string]uint64{}, registered[:min(2, len(registered))]
		for i, name := range names {
			if strings.Contains(strings.Join(registered, " "), name) {
				tokens[name] = uint64(i + 1)
			}
		}
		for i, name := range names {
			if name == withoutViews {
				continue
			}
			servers[name].SetView(now,
				View{Epoch: epoch, Prev: epoch - 1, Self: name, Token: uint64(i + 1), Tokens: tokens,
					Replicas: func(int) []string { return replicas },
					NewShard: func(int) bool { return epoch == 1 }, Pools: map[Owner]string{{"c", 3}: "pool of c"}}, time.Hour)
		}
	}
	deliver = func(now time.Duration) map[string]Outputs {
		total := map[string]Outputs{}
		for delivering := true; delivering; {
			delivering = false
			for _, name := range names {
				out := servers[name].TakeOutputs(now)
				outputs := total[name]
				outputs.Verdicts, outputs.Finished = append(outputs.Verdicts, out.Verdicts...),
					append(outputs.Finished, out.Finished...)
				outputs.Probes, outputs.Adopts = append(outputs.Probes, out.Probes...), append(outputs.Adopts, out.Adopts...)
				outputs.Disown = outputs.Disown || out.Disown
				total[name] = outputs
				for _, send := range out.Sends {
					delivering = true
					data, err := cbor.Marshal(send.Msg)
					var got Message
					if err == nil {
						err = cbor.Unmarshal(data, &got)
					}
					if diff := cmp.Diff(send.Msg, &got, cmp.AllowUnexported(Candidate{})); err != nil || diff != "" {
						t.Fatalf("%v\n%s", err, diff)
					}
					servers[send.To].Receive(now, name, &got)
				}
			}
		}
		return total
	}
	return
}

func piece(token string) KeyedRequest {
	return KeyedRequest{Key: Key{"class", token}, Body: []byte(token), Sum: [32]byte{1}, Due: 10 * time.Second, Life: 12 * time.Second}
}

// The course of a key: it is won in one round, held elsewhere for other servers, refused with another body, and answered
// with one result by any server. If its server is lost before the outcome, the primary probes the pool, then runs it.
// Claims past the bound are refused.
func TestCourseOfAKey(t *testing.T) {
	servers, deliver, setView := newServers(t, Limits{Records: 3, MaxRetention: 12 * time.Second}, "a", "b", "c", "d")
	setView(1, 0, "a", "b", "c", "d")
	deliver(0)
	expect := func(step string, outputs Outputs, want string) {
		t.Helper()
		var got []string
		for _, verdict := range outputs.Verdicts {
			got = append(got, fmt.Sprint(verdict.Key.Token, " ", verdict.State, " ", string(verdict.Result)))
		}
		for _, finished := range outputs.Finished {
			got = append(got, fmt.Sprint(finished.Key.Token, " finished ", finished.OK))
		}
		for _, probe := range outputs.Probes {
			got = append(got, fmt.Sprint(probe.Keys, " probed in ", probe.Pool))
		}
		for _, adopt := range outputs.Adopts {
			got = append(got, fmt.Sprint(adopt.Piece.Key.Token, " adopted ", string(adopt.Piece.Body)))
		}
		if s := strings.TrimSpace(strings.Join(got, ", ")); s != want {
			t.Errorf("%s: %q, not %q", step, s, want)
		}
	}
	servers["c"].Claim(0, 1, piece("x"))
	expect("claim", deliver(0)["c"], "x won")
	servers["d"].Claim(0, 1, piece("x"))
	expect("repeat at another server", deliver(0)["d"], "x other")
	otherBody := piece("x")
	otherBody.Sum[0]++
	servers["d"].Claim(0, 1, otherBody)
	expect("another body", deliver(0)["d"], "x off")
	servers["c"].Finish(time.Second, Key{"class", "x"}, 1, true, []byte("ok"), "")
	servers["c"].Finish(time.Second, Key{"class", "x"}, 1, true, []byte("ok"), "") // repeated
	expect("outcome", deliver(time.Second)["c"], "x finished true")
	servers["d"].Claim(time.Second, 1, piece("x"))
	expect("repeat after the outcome", deliver(time.Second)["d"], "x done ok")
	for _, k := range []string{"y", "z"} {
		servers["c"].Claim(time.Second, 1, piece(k))
		expect("claim", deliver(time.Second)["c"], k+" won")
	}
	servers["d"].Claim(time.Second, 1, piece("v"))
	expect("claim past the bound", deliver(time.Second)["d"], "v down")
	setView(2, 2*time.Second, "a", "b", "d")
	lostOutputs := deliver(2 * time.Second)
	expect("its server is lost", lostOutputs["a"], "[{{class y}  0 true} {{class z}  0 true}] probed in pool of c")
	if !lostOutputs["c"].Disown {
		t.Error("a lost server does not disown its claims")
	}
	servers["a"].HandleProof(2*time.Second, Key{"class", "y"}, Owner{"c", 3}, Proof{State: NeverRan})
	servers["a"].HandleProof(2*time.Second, Key{"class", "z"}, Owner{"c", 3}, Proof{State: Ran, OK: true, Result: []byte("far")})
	expect("probe results", deliver(2 * time.Second)["a"], "y adopted y")
	servers["d"].Claim(2*time.Second, 1, piece("z"))
	expect("repeat of a request that finished before its server was lost", deliver(2 * time.Second)["d"], "z done far")
	// a is lost: b copies to d, which takes over; the proof from the pool of c still counts, the pool of a is unknown.
	setView(3, 3*time.Second, "d", "b")
	deliver(3 * time.Second)
	servers["b"].Claim(3*time.Second, 1, piece("y"))
	expect("the server that took over is lost", deliver(3 * time.Second)["b"], "y other")
	servers["d"].Tick(3*time.Second + 100*ms)
	deliver(3*time.Second + 100*ms)
	servers["b"].Claim(4*time.Second, 1, piece("y"))
	expect("the pool of the server that took over is unknown", deliver(4 * time.Second)["b"], "y failed")
	for _, n := range []string{"b", "d"} {
		servers[n].Tick(40 * time.Second)
		if figures := servers[n].Metrics(); figures != (Metrics{}) {
			t.Errorf("%s: %+v", n, figures)
		}
	}
}

// If both replicas are lost at once, their shards accept no new claims until the longest retention time is over. What
// is held is learned meanwhile.
func TestQuarantine(t *testing.T) {
	servers, deliver, setView := newServers(t, Limits{MaxRetention: 20 * time.Second, MaxViewLag: time.Second}, "a", "b", "c", "d")
	setView(1, 0, "a", "b", "c", "d")
	servers["c"].Claim(0, 1, piece("x"))
	deliver(0)
	setView(2, time.Second, "d", "c")
	for _, step := range []struct {
		at   time.Duration
		key  string
		want ClaimState
	}{{time.Second, "y", Unavailable}, {1100 * ms, "x", HeldElsewhere}, {21900 * ms, "y", Unavailable}, {22 * time.Second, "y", Won}} {
		servers["c"].Tick(step.at)
		servers["d"].Tick(step.at)
		deliver(step.at)
		servers["d"].Claim(step.at, 1, piece(step.key))
		if verdicts := deliver(step.at)["d"].Verdicts; len(verdicts) != 1 || verdicts[0].State != step.want ||
			verdicts[0].Why == "" {
			t.Errorf("at %v: %+v", step.at, verdicts)
		}
	}
}

// If both replicas move at once, the former ones copy to the new ones. A server that missed a view is in sync for no
// shard: a key may have been claimed in that view. An outcome that a lost server reported only to the backup takes
// precedence over the takeover's decision.
func TestMoves(t *testing.T) {
	servers, deliver, setView := newServers(t, Limits{MaxRetention: 12 * time.Second}, "a", "b", "c", "d")
	claim := func(step, box, key string, want ClaimState) {
		t.Helper()
		deliver(0)
		servers[box].Claim(0, 1, piece(key))
		if verdicts := deliver(0)[box].Verdicts; len(verdicts) != 1 || verdicts[0].State != want {
			t.Errorf("%s: %+v", step, verdicts)
		}
	}
	setView(1, 0, "a", "b", "c", "d")
	claim("in sync", "c", "x", Won)
	setView(2, 0, "d", "c", "a", "b")
	claim("repeat after both replicas moved", "a", "x", HeldElsewhere)
	claim("both replicas moved", "a", "y", Won)
	setView(3, 0, "a", "b", "c", "d")
	deliver(0)
	servers["c"].Finish(0, Key{"class", "x"}, 1, true, []byte("ok"), "")
	for _, send := range servers["c"].TakeOutputs(0).Sends {
		if send.To == "b" {
			servers["b"].Receive(0, "c", send.Msg)
		}
	}
	setView(4, 0, "a", "b", "d")
	deliver(0)
	servers["a"].HandleProof(0, Key{"class", "x"}, Owner{"c", 3}, Proof{State: Unknown})
	claim("the backup knows the outcome", "d", "x", Done)
	withoutViews = "a"
	defer func() { withoutViews = "" }()
	setView(5, 0, "d", "b", "a")
	claim("claimed while a is behind", "b", "z", Won)
	withoutViews = ""
	setView(6, 0, "a")
	claim("after a missed a view", "a", "z", Unavailable)
}

var withoutViews string // a server that does not get the views of pair

// The memory that a record takes at a replica beyond its body.
func TestBytesOfRecord(t *testing.T) {
	const n = 20_000
	h := New(Limits{})
	h.SetView(0, View{Epoch: 1, Self: "a", Token: 1, Tokens: map[string]uint64{"a": 1, "b": 2},
		Replicas: func(int) []string { return []string{"a"} }, NewShard: func(int) bool { return true }}, time.Hour)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for i := range n {
		request := KeyedRequest{Key: Key{"class", fmt.Sprintf("token-of-a-caller-%08d", i)}, Due: time.Second, Life: time.Minute}
		h.Receive(0, "b", &Message{Epoch: 1, Life: 2,
			Items: []Item{{Kind: kindClaim, Key: request.Key, Try: uint64(i + 1), Piece: &request}}})
		h.TakeOutputs(0)
	}
	perRecord := (heap() - before) / n
	if t.Logf("%d bytes per record at each replica", perRecord); h.recordCount != n || perRecord > 1200 {
		t.Errorf("%d records of %d bytes", h.recordCount, perRecord)
	}
	runtime.KeepAlive(h)
}
