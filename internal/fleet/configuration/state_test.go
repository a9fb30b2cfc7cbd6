package configuration

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"larchscale/internal/fleet/consensus"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/watch"
)

// put and remove make entries of which only what matters to Apply differs.
func put(key, value string, expect uint64) *Entry {
	return &Entry{Kind: Put, Key: key, Value: []byte(value), By: "operator", Expect: expect, At: 1}
}

func remove(key string, expect uint64) *Entry {
	return &Entry{Kind: Delete, Key: key, By: "operator", Expect: expect, At: 1}
}

func TestApply(t *testing.T) {
	// At index 10 there are a, put at 3 over revision 2, and b, put at 5.
	start := []struct {
		index uint64
		entry *Entry
	}{{2, put("a", "0", 0)}, {3, put("a", "1", 2)}, {5, put("b", "1", 0)}}
	document := func(key, value string, revision, expected uint64) Document {
		return Document{Key: key, Value: []byte(value), Revision: revision, Expected: expected, By: "operator", At: 1}
	}
	a, b := document("a", "1", 3, 2), document("b", "1", 5, 0)
	tests := []struct {
		name    string
		entry   *Entry
		err     error
		want    []Document
		changed bool
	}{
		{"a new document", put("c", "1", 0), nil, []Document{a, b, document("c", "1", 10, 0)}, true},
		{"a new document in front", put("B", "1", 0), nil, []Document{document("B", "1", 10, 0), a, b}, true},
		{"an empty document", put("c", "", 0), nil, []Document{a, b, document("c", "", 10, 0)}, true},
		{"another value", put("a", "2", 0), nil, []Document{document("a", "2", 10, 0), b}, true},
		{"another value of the revision expected", put("a", "2", 3), nil, []Document{document("a", "2", 10, 3), b}, true},
		{"another value of another revision", put("a", "2", 2), ErrConflict, []Document{a, b}, false},
		{"the same value", put("a", "1", 0), nil, []Document{a, b}, false},
		{"the same value by somebody else", &Entry{Kind: Put, Key: "a", Value: []byte("1"), By: "other", At: 9}, nil, []Document{a, b}, false},
		{"the same value of the revision expected", put("a", "1", 3), nil, []Document{a, b}, false},
		{"a repeat", put("a", "1", 2), nil, []Document{a, b}, false},
		{"the same value of another revision", put("a", "1", 1), ErrConflict, []Document{a, b}, false},
		{"a new document that was expected", put("c", "1", 3), ErrUnknown, []Document{a, b}, false},
		{"delete", remove("a", 0), nil, []Document{b}, true},
		{"delete of the revision expected", remove("a", 3), nil, []Document{b}, true},
		{"delete of another revision", remove("a", 2), ErrConflict, []Document{a, b}, false},
		{"delete of an unknown document", remove("c", 0), ErrUnknown, []Document{a, b}, false},
		{"no kind", &Entry{Key: "a", By: "operator"}, ErrInvalid, []Document{a, b}, false},
		{"a kind of later", &Entry{Kind: Delete + 1, Key: "a", By: "operator"}, ErrInvalid, []Document{a, b}, false},
		{"no key", put("", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a key with a space", put("a b", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a key with a line end", put("a\nb", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a key that is not ASCII", put("ä", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a key that is no text", put("\xff", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a key with a control character", put("a\x7f", "1", 0), ErrInvalid, []Document{a, b}, false},
		{"a long key", put(strings.Repeat("k", MaxKey+1), "1", 0), ErrInvalid, []Document{a, b}, false},
		{"the longest key", put(strings.Repeat("k", MaxKey), "1", 0), nil, []Document{a, b, document(strings.Repeat("k", MaxKey), "1", 10, 0)}, true},
		{"a large value", put("c", strings.Repeat("v", MaxValue+1), 0), ErrInvalid, []Document{a, b}, false},
		{"the largest value", put("c", strings.Repeat("v", MaxValue), 0), nil, []Document{a, b, document("c", strings.Repeat("v", MaxValue), 10, 0)}, true},
		{"by nobody", &Entry{Kind: Put, Key: "c"}, ErrInvalid, []Document{a, b}, false},
		{"by a long name", &Entry{Kind: Put, Key: "c", By: strings.Repeat("n", maxBy+1)}, ErrInvalid, []Document{a, b}, false},
		{"by no text", &Entry{Kind: Put, Key: "c", By: "\xff"}, ErrInvalid, []Document{a, b}, false},
		{"delete with a value", &Entry{Kind: Delete, Key: "a", By: "operator", Value: []byte("1")}, ErrInvalid, []Document{a, b}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s State
			for _, step := range start {
				if err := s.Apply(step.index, step.entry); err != nil {
					t.Fatal(err)
				}
			}
			before := s.Clone()
			err := s.Apply(10, test.entry)
			if !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			if err != nil && (strings.Contains(err.Error(), "\n") || len(err.Error()) > 400) {
				t.Errorf("not one line: %q", err)
			}
			if diff := cmp.Diff(test.want, s.Documents, cmpopts.EquateEmpty()); diff != "" || s.Index != 10 {
				t.Errorf("index %d, documents (-want +got):\n%s", s.Index, diff)
			}
			if diff := cmp.Diff([]Document{a, b}, before.Documents); diff != "" {
				t.Errorf("the clone changed:\n%s", diff)
			}
			if errors.Is(test.err, ErrInvalid) != (test.entry.Validate() != nil) {
				t.Errorf("Validate gives %v", test.entry.Validate())
			}
			checkChange(t, &s, test.entry, test.changed)
		})
	}
}

// checkChange tells whether Changed gives what an entry did.
func checkChange(t *testing.T, s *State, e *Entry, want bool) {
	t.Helper()
	u, changed := s.Changed()
	if changed != want {
		t.Fatalf("changed %v, want %v", changed, want)
	}
	if (s.LastChange == s.Index) != want {
		t.Errorf("last change at %d, index %d", s.LastChange, s.Index)
	}
	wanted := watch.Update{Revision: s.Index, Key: e.Key, Value: e.Value, Deleted: e.Kind == Delete}
	if !want {
		wanted = watch.Update{}
	}
	if diff := cmp.Diff(wanted, u, cmpopts.IgnoreUnexported(watch.Update{}), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("changed (-want +got):\n%s", diff)
	}
}

func TestFull(t *testing.T) {
	t.Run("documents", func(t *testing.T) {
		var s State
		for i := range MaxDocuments {
			mustApply(t, &s, uint64(i+1), put(fmt.Sprintf("%04d", i), "", 0))
		}
		if err := s.Apply(MaxDocuments+1, put("more", "", 0)); !errors.Is(err, ErrFull) {
			t.Errorf("one more: %v", err)
		}
		if len(s.Documents) != MaxDocuments {
			t.Errorf("%d documents", len(s.Documents))
		}
		mustApply(t, &s, MaxDocuments+2, put("0007", "other", 0))
		mustApply(t, &s, MaxDocuments+3, remove("0007", 0))
		mustApply(t, &s, MaxDocuments+4, put("more", "", 0))
	})
	t.Run("bytes", func(t *testing.T) {
		s := fullState(t)
		if s.size() != MaxBytes {
			t.Fatalf("%d bytes, want %d", s.size(), MaxBytes)
		}
		last := s.Documents[len(s.Documents)-1]
		if err := s.Apply(s.Index+1, put("x", "", 0)); !errors.Is(err, ErrFull) {
			t.Errorf("a document more: %v", err)
		}
		if err := s.Apply(s.Index+1, put(last.Key, string(last.Value)+"1", 0)); !errors.Is(err, ErrFull) {
			t.Errorf("a byte more: %v", err)
		}
		mustApply(t, &s, s.Index+1, put(last.Key, string(last.Value[1:]), 0))
		mustApply(t, &s, s.Index+1, put("x", "", 0))
	})
}

func mustApply(t *testing.T, s *State, index uint64, e *Entry) {
	t.Helper()
	if err := s.Apply(index, e); err != nil {
		t.Fatalf("index %d: %v", index, err)
	}
}

// fullState makes a state of as many bytes as there may be, in documents of the longest keys.
func fullState(t *testing.T) State {
	t.Helper()
	var s State
	const perDocument = MaxKey + MaxValue
	for room := MaxBytes; room > 0; room -= min(room, perDocument) {
		key := fmt.Sprintf("%0*d", MaxKey, s.Index)
		mustApply(t, &s, s.Index+1, put(key, strings.Repeat("v", min(room, perDocument)-MaxKey), 0))
	}
	return s
}

// A view must hold whatever can be agreed, beside the server's own key: else it could not follow.
func TestViewHoldsFullState(t *testing.T) {
	const ownKey = 64 << 10
	const most = MaxBytes + MaxDocuments*(len(session.ConfigurationPrefix)+watch.UpdateOverhead) + ownKey
	if most > watch.MaxViewBytes || MaxDocuments >= watch.MaxViewKeys {
		t.Errorf("a view holds %d keys of %d bytes, there may be %d of %d", watch.MaxViewKeys, watch.MaxViewBytes, MaxDocuments+1, most)
	}
	s := fullState(t)
	h := watch.NewHistory(watch.Limits{})
	load(h, &s)
	follower := newFollower(h)
	follower.follow(t)
	follower.check(t, &s)
}

// load starts a history from a state, as after a snapshot of raft.
func load(h *watch.History, s *State) {
	h.Reset(s.Index)
	for _, d := range s.Documents {
		h.Put(d.Revision, session.ConfigurationPrefix+d.Key, d.Value)
	}
	h.Advance(s.Index)
}

// feed gives a history what the last entry changed.
func feed(h *watch.History, s *State) {
	if u, ok := s.Changed(); ok && u.Deleted {
		h.Delete(u.Revision, session.ConfigurationPrefix+u.Key)
	} else if ok {
		h.Put(u.Revision, session.ConfigurationPrefix+u.Key, u.Value)
	}
	h.Advance(s.Index)
}

// follower is a view of all documents.
type follower struct {
	view   *watch.View
	reader *watch.Reader
}

func newFollower(h *watch.History) *follower {
	return &follower{watch.NewView(), h.NewReader(watch.Interest{Prefixes: []string{session.ConfigurationPrefix}}, 0)}
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func (f *follower) follow(t fataler) {
	t.Helper()
	for b, ok := f.reader.Next(session.MaxBatch); ok; b, ok = f.reader.Next(session.MaxBatch) {
		if _, err := f.view.Apply(b); err != nil {
			t.Fatalf("%v", err)
		}
	}
}

func (f *follower) check(t fataler, s *State) {
	t.Helper()
	if got := len(f.view.Keys("")); got != len(s.Documents) {
		t.Fatalf("%d keys, want %d", got, len(s.Documents))
	}
	if got := f.view.Digest(session.ConfigurationPrefix); got != s.Digest() {
		t.Fatalf("digest of the view %x, of the state %x", got, s.Digest())
	}
}

func TestDigest(t *testing.T) {
	var empty, one, other State
	mustApply(t, &one, 1, put("a", "1", 0))
	mustApply(t, &other, 2, put("a", "1", 0))
	if empty.Digest() == one.Digest() || one.Digest() == other.Digest() {
		t.Errorf("digests %x, %x and %x", empty.Digest(), one.Digest(), other.Digest())
	}
	mustApply(t, &one, 2, put("a", "1", 0))
	same := one.Clone()
	if one.Digest() != same.Digest() {
		t.Error("the digest of a clone is another")
	}
}

// An agreed part, saved and loaded, goes on as the one that it was saved from.
func TestSaveAndLoad(t *testing.T) {
	a := consensus.NewTypedStateMachine[State, Entry](PartName)
	if data, err := a.Save(); data != nil || err != nil {
		t.Errorf("an empty part saves %x, %v", data, err)
	}
	entries := []*Entry{put("a", "1", 0), put("b", "", 0), put("a", "2", 1), remove("c", 0)}
	for i, e := range entries {
		err := applyEncoded(t, a, uint64(i+1), e)
		if want := map[int]error{3: ErrUnknown}[i]; !errors.Is(err, want) {
			t.Errorf("entry %d: %v, want %v", i, err, want)
		}
	}
	b := consensus.NewTypedStateMachine[State, Entry](PartName)
	reload(t, a, b)
	if _, changed := b.State.Changed(); changed {
		t.Error("a state that was loaded tells a change")
	}
	if err := applyEncoded(t, b, 5, entries[2]); err != nil {
		t.Errorf("a repeat after loading: %v", err)
	}
	if d := b.State.Document("a"); d == nil || d.Revision != 3 || b.State.Document("c") != nil {
		t.Errorf("documents %v", b.State.Documents)
	}
	if err := a.Apply(5, []byte{0xff}); !errors.Is(err, consensus.ErrUnknownVersion) {
		t.Errorf("what is no entry: %v", err)
	}
}

func applyEncoded(t fataler, a consensus.StateMachine, index uint64, e *Entry) error {
	t.Helper()
	data, err := consensus.Encode(e)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return a.Apply(index, data)
}

// reload gives a part what another one saved, and compares them.
func reload(t fataler, from, to *consensus.TypedStateMachine[State, Entry, *State]) {
	t.Helper()
	data, err := from.Save()
	if err != nil {
		t.Fatalf("%v", err)
	}
	if err := to.Load(data); err != nil {
		t.Fatalf("%v", err)
	}
	if diff := cmp.Diff(from.State, to.State, cmpopts.IgnoreUnexported(State{})); diff != "" {
		t.Fatalf("loaded (-saved +loaded):\n%s", diff)
	}
}

// model is the naive state: a map.
type model map[string]Document

// apply says what an entry should do.
func (m model) apply(index uint64, e *Entry) (changed bool, err error) {
	old, known := m[e.Key]
	same := known && string(old.Value) == string(e.Value)
	switch {
	case e.Key == "" || len(e.Value) > MaxValue:
		return false, ErrInvalid
	case e.Kind == Put && same && (e.Expect == 0 || e.Expect == old.Revision || e.Expect == old.Expected):
		return false, nil
	case !known && (e.Kind == Delete || e.Expect != 0):
		return false, ErrUnknown
	case known && e.Expect != 0 && e.Expect != old.Revision:
		return false, ErrConflict
	case e.Kind == Delete:
		delete(m, e.Key)
	default:
		m[e.Key] = Document{e.Key, e.Value, index, e.Expect, e.By, e.At}
	}
	return true, nil
}

// TestAgainstModel applies drawn entries, some of them twice, at two nodes, one of which is now and then loaded from the
// other's snapshot, and has a view follow each.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := model{}
		lastChange := uint64(0)
		first := consensus.NewTypedStateMachine[State, Entry](PartName)
		second := consensus.NewTypedStateMachine[State, Entry](PartName)
		limits := watch.Limits{Bytes: 1 << 10, Updates: rapid.IntRange(0, 20).Draw(t, "updates kept")}
		histories := []*watch.History{watch.NewHistory(limits), watch.NewHistory(limits)}
		followers := []*follower{newFollower(histories[0]), newFollower(histories[1])}
		var last *Entry
		entries := rapid.Uint64Range(1, 60).Draw(t, "entries")
		for index := uint64(1); index <= entries; index++ {
			e := drawEntry(t, first.State.Documents, index)
			if last != nil && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				e = last
			}
			last = e
			changed, want := model.apply(index, e)
			if changed {
				lastChange = index
			}
			for i, part := range []*consensus.TypedStateMachine[State, Entry, *State]{first, second} {
				if err := applyEncoded(t, part, index, e); !errors.Is(err, want) {
					t.Fatalf("%v: %v, want %v", e, err, want)
				}
				if _, got := part.State.Changed(); got != changed {
					t.Fatalf("%v: changed %v, want %v", e, got, changed)
				}
				if part.State.LastChange != lastChange {
					t.Fatalf("%v: last change at %d, want %d", e, part.State.LastChange, lastChange)
				}
				feed(histories[i], &part.State)
			}
			checkModel(t, model, &first.State)
			if rapid.IntRange(0, 9).Draw(t, "load") == 0 {
				reload(t, first, second)
				load(histories[1], &second.State)
			}
			for i, f := range followers {
				if rapid.Bool().Draw(t, "follow") {
					f.follow(t)
					f.check(t, []*State{&first.State, &second.State}[i])
				}
			}
		}
	})
}

// drawEntry draws an entry of few keys and values, some of which cannot be.
func drawEntry(t *rapid.T, documents []Document, index uint64) *Entry {
	e := &Entry{
		Kind: rapid.SampledFrom([]Kind{Put, Put, Delete}).Draw(t, "kind"),
		Key:  rapid.SampledFrom([]string{"a", "b", "c", "d", ""}).Draw(t, "key"),
		By:   rapid.SampledFrom([]string{"x", "y"}).Draw(t, "by"),
		At:   int64(index),
	}
	if e.Kind == Put {
		e.Value = []byte(rapid.SampledFrom([]string{"", "1", "2", strings.Repeat("3", MaxValue+1)}).Draw(t, "value"))
	}
	switch i := slices.IndexFunc(documents, func(d Document) bool { return d.Key == e.Key }); {
	case i >= 0 && rapid.Bool().Draw(t, "as it is"):
		e.Expect = documents[i].Revision
	case rapid.Bool().Draw(t, "expects"):
		e.Expect = rapid.Uint64Range(1, index).Draw(t, "revision")
	}
	return e
}

func checkModel(t fataler, m model, s *State) {
	t.Helper()
	if len(m) != len(s.Documents) || !slices.IsSortedFunc(s.Documents, func(a, b Document) int { return strings.Compare(a.Key, b.Key) }) {
		t.Fatalf("documents %v, want %v", s.Documents, m)
	}
	for _, d := range s.Documents {
		if diff := cmp.Diff(m[d.Key], d, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("document (-want +got):\n%s", diff)
		}
	}
}
