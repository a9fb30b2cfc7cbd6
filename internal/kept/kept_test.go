package kept

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"larchscale/control"
)

const self, other = 1, 2

func box(t interface{ Fatal(...any) }, bytes int64) *Kept {
	k, err := New(Options{Self: self, Bytes: bytes, MaxReply: 100, AskShare: 0.25, Classes: []Class{{Name: "fare", For: 1000}, {Name: "map", For: 60_000}}})
	if err != nil {
		t.Fatal(err)
	}
	homes := make([]uint16, Slices)
	for i := range homes {
		homes[i] = other
	}
	if err := k.Place(7, homes); err != nil {
		t.Fatal(err)
	}
	return k
}

// A class that writes, or is named twice, is one line that names it; so is what cannot be otherwise.
func TestSettings(t *testing.T) {
	ok := Options{Bytes: 10_000, MaxReply: 100, AskShare: 0.2, Classes: []Class{{Name: "fare", For: 1}}}
	for want, change := range map[string]func(*Options){
		`"book" writes`: func(o *Options) { o.Classes = []Class{{"book", 5, control.Keyed}} },
		`"fare" twice`:  func(o *Options) { o.Classes = append(o.Classes, o.Classes[0]) },
		`for 0 ms`:      func(o *Options) { o.Classes = []Class{{Name: "x"}} },
		`share of 1`:    func(o *Options) { o.AskShare = 1 },
		`300 bytes`:     func(o *Options) { o.Bytes = 300 },
	} {
		o := ok
		change(&o)
		if _, err := New(o); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want %s, got %v", want, err)
		}
	}
	k := box(t, 10_000)
	if err := k.Place(6, make([]uint16, Slices)); !errors.Is(err, ErrEpoch) {
		t.Error("an older placement was taken:", err)
	}
}

// Each way in which a home can be wrong costs the one call below, and the right reply is what all get.
func TestHomesThatAreWrong(t *testing.T) {
	key := KeyOf("fare", []byte("a"))
	for name, spoil := range map[string]func(*Word, *int64){
		"epoch":                func(w *Word, _ *int64) { w.Epoch = 6 },
		"another call":         func(w *Word, _ *int64) { w.Sum = KeyOf("fare", []byte("b")).Sum },
		"another class":        func(w *Word, _ *int64) { w.Class = "map" },
		"empty":                func(w *Word, _ *int64) { w.Has = false },
		"101 bytes":            func(w *Word, _ *int64) { w.Reply = make([]byte, 101) },
		"late":                 func(_ *Word, at *int64) { *at = 10_250 },
		"expired":              func(w *Word, _ *int64) { w.Left = 0 },
		"longer than":          func(w *Word, _ *int64) { w.Left = 1001 },
		"good for longer":      func(w *Word, _ *int64) { w.Born = 10_000 - 3600_000 }, // last hour's, by a clock that stood
		"expired, or good for": func(w *Word, _ *int64) { w.Born = 10_000 + 3*skew },
	} {
		k := box(t, 10_000)
		if a := k.Want(10_000, key, 1, 11_000); a.Do != AskHome || a.Box != other || a.Until != 10_250 {
			t.Fatal(a)
		}
		if a := k.Want(10_001, key, 2, 11_000); a.Do != Wait {
			t.Fatal(a)
		}
		w, at := Word{7, "fare", key.Sum, true, []byte("wrong"), 9_500, 500}, int64(10_100)
		spoil(&w, &at)
		out := k.HomeSaid(at, key, other, w)
		if len(out) != 1 || out[0].Do != CallBelow || out[0].Who != 1 || !strings.Contains(out[0].Why, name) {
			t.Fatalf("%s: %+v", name, out)
		}
		if out := k.HomeSaid(at, key, other, Word{7, "fare", key.Sum, true, []byte("wrong"), 9_500, 500}); out != nil {
			t.Fatalf("%s: a second word was taken: %+v", name, out)
		}
		if out := k.Got(at, key, []byte("right")); len(out) != 2 || string(out[0].Reply) != "right" || string(out[1].Reply) != "right" {
			t.Fatalf("%s: %+v", name, out)
		}
		if f := k.Figures(); f.Calls != 1 || f.HomeBad != 1 || f.HomeHits != 0 {
			t.Fatalf("%s: %+v", name, f)
		}
	}
}

// A home's good word is kept for its remaining time, and served on with no more than that.
func TestRemainingTime(t *testing.T) {
	home, k, key := box(t, 10_000), box(t, 10_000), KeyOf("fare", []byte("a"))
	home.Got(10_000, key, []byte("r"))
	k.Want(10_600, key, 1, 20_000)
	w := home.Serve(10_600, key)
	if out := k.HomeSaid(10_600, key, other, w); w.Left != 400 || len(out) != 1 || out[0].Do != Hit {
		t.Fatal(w, out)
	}
	if w := k.Serve(10_999, key); !w.Has || w.Left != 1 {
		t.Fatal(w)
	}
	if w := k.Serve(11_000, key); w.Has || k.Want(11_000, key, 2, 20_000).Do == Hit {
		t.Fatal("expired and served", w)
	}
}

// Whatever homes say and whoever leaves: each hit is the reply of its own call and no older than its class allows,
// one asks for a key at a time, all that wait are answered by their due time, and the bytes are bounded.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := box(t, 600)
		now, who := int64(1_000_000), uint64(0)
		waits := map[uint64]Key{} // not answered yet
		leads := map[Key]uint64{} // who asks or calls
		due := map[uint64]int64{} // of those
		below := map[Key]bool{}   // the one who asks calls below
		truth := func(k Key, at int64) []byte { return fmt.Appendf(nil, "%s %x %d", k.Class, k.Sum[:4], at) }
		take := func(key Key, out []Answer) {
			for _, a := range out {
				if a.Do != Wait && a.Do != AskHome && a.Do != CallBelow {
					delete(waits, a.Who)
				}
				switch {
				case a.Do == AskHome || a.Do == CallBelow:
					if l, ok := leads[key]; ok && l != a.Who && waits[l] == key {
						t.Fatalf("%d asks beside %d", a.Who, l)
					}
					leads[key], below[key] = a.Who, a.Do == CallBelow
				case a.Do == Hit:
					var class string
					var sum string
					var at int64
					if n, err := fmt.Sscan(string(a.Reply), &class, &sum, &at); n != 3 || err != nil || class != key.Class || sum != fmt.Sprintf("%x", key.Sum[:4]) || now-at >= k.lasts[class] {
						t.Fatalf("at %d for %s %x: %q", now, key.Class, key.Sum[:4], a.Reply)
					}
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400).Draw(t, "later")
			for _, a := range k.Due(now) {
				key, ok := waits[a.Who]
				if !ok || a.Do == GiveUp && now < due[a.Who] {
					t.Fatalf("%+v of nobody, or too early", a)
				}
				take(key, []Answer{a})
			}
			for w, key := range waits {
				if now >= due[w] {
					t.Fatalf("%d for %s waits past its due time", w, key.Class)
				}
			}
			if k.Next() <= now {
				t.Fatal("something is due still")
			}
			key := KeyOf(rapid.SampledFrom([]string{"fare", "map"}).Draw(t, "class"), []byte{byte(rapid.IntRange(0, 4).Draw(t, "body"))})
			lead, led := leads[key]
			led = led && waits[lead] == key
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 1:
				who++
				waits[who], due[who] = key, now+rapid.Int64Range(1, 1000).Draw(t, "time")
				take(key, []Answer{k.Want(now, key, who, due[who])})
			case op == 2 && led && !below[key]:
				w := Word{rapid.Uint64Range(6, 8).Draw(t, "epoch"), key.Class, key.Sum, true, nil, now - rapid.Int64Range(0, 2000).Draw(t, "age"), 0}
				w.Left = max(0, w.Born+k.lasts[key.Class]-now)
				w.Reply = truth(key, w.Born)
				if rapid.Bool().Draw(t, "lie") {
					w.Sum[0], w.Reply = w.Sum[0]+1, []byte("a lie")
				}
				take(key, k.HomeSaid(now, key, other, w))
			case op == 3 && led && below[key]:
				take(key, k.Got(now, key, truth(key, now)))
			case op == 4 && led && below[key]:
				delete(waits, lead)
				take(key, k.Failed(key, lead))
			case op == 5 && led:
				delete(waits, lead)
				take(key, k.Leave(key, lead))
			}
			if k.Bytes() > 600 || k.Bytes() < 0 {
				t.Fatal("bytes", k.Bytes())
			}
		}
	})
}

// The bytes are bounded, what a reply costs beside its length included, and the least recently wanted goes first.
func TestBytes(t *testing.T) {
	k := box(t, 10*(Overhead+10))
	for i := range 100 {
		k.Got(1000, KeyOf("map", []byte{byte(i)}), make([]byte, 10))
		k.Want(1000, KeyOf("map", []byte{0}), uint64(i), 2000)
	}
	if n, first, second := k.lru.Len(), k.Serve(1000, KeyOf("map", []byte{0})), k.Serve(1000, KeyOf("map", []byte{1})); n != 10 || k.Bytes() != 10*(Overhead+10) || !first.Has || second.Has {
		t.Fatal(n, k.Bytes(), first.Has, second.Has)
	}
	if k.Resize(3 * (Overhead + 10)); k.Bytes() != 3*(Overhead+10) || k.lru.Len() != 3 {
		t.Fatal("after Resize:", k.Bytes(), k.lru.Len())
	}
}
