package watch

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

var largeLimits = Limits{Bytes: 1 << 20, Updates: 1000}

func bytesOf(text string) []byte { return []byte(text) }

func put(revision uint64, key, text string) Update {
	return Update{Revision: revision, Key: key, Value: bytesOf(text)}
}

func deletion(revision uint64, key string) Update {
	return Update{Revision: revision, Key: key, Deleted: true}
}

// drain reads all available batches of a reader.
func drain(r *Reader, maxBytes int) []Batch {
	var batches []Batch
	for {
		b, ok := r.Next(maxBytes)
		if !ok {
			return batches
		}
		batches = append(batches, b)
	}
}

func checkBatches(t *testing.T, got, want []Batch) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(Batch{}, Update{})); diff != "" {
		t.Errorf("batches (-want +got):\n%s", diff)
	}
}

var allKeys = Interest{Prefixes: []string{""}}

func TestReaderUpdates(t *testing.T) {
	sizeOfTwo := 2 * (len("a") + len("1") + UpdateOverhead)
	tests := []struct {
		name     string
		feed     func(h *History)
		interest Interest
		after    uint64
		maxBytes int
		want     []Batch
		position uint64
	}{
		{"no updates", func(h *History) {}, allKeys, 0, 100, nil, 0},
		{"before Advance", func(h *History) { h.Put(1, "a", bytesOf("1")) }, allKeys, 0, 100, nil, 0},
		{"one update", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Advance(3)
		}, allKeys, 0, 100, []Batch{{From: 0, To: 3, Updates: []Update{put(1, "a", "1")}}}, 3},
		{"an equal value is no update", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Advance(1)
			h.Put(2, "a", bytesOf("1"))
			h.Advance(4)
		}, allKeys, 1, 100, nil, 4},
		{"the deletion of an unknown key is an update", func(h *History) {
			h.Delete(3, "b")
			h.Advance(4)
		}, allKeys, 0, 100, []Batch{{To: 4, Updates: []Update{deletion(3, "b")}}}, 4},
		{"an empty value is a value", func(h *History) {
			h.Put(1, "a", nil)
			h.Advance(1)
		}, allKeys, 0, 100, []Batch{{To: 1, Updates: []Update{{Revision: 1, Key: "a"}}}}, 1},
		{"deletion, and the same value again", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Delete(2, "a")
			h.Put(3, "a", bytesOf("1"))
			h.Advance(3)
		}, allKeys, 0, 100, []Batch{{To: 3, Updates: []Update{put(1, "a", "1"), deletion(2, "a"), put(3, "a", "1")}}}, 3},
		{"only keys of interest", func(h *History) {
			h.Put(1, "server/a", bytesOf("1"))
			h.Put(1, "server/ab", bytesOf("1"))
			h.Put(2, "configuration/x", bytesOf("1"))
			h.Put(3, "confer", bytesOf("1"))
			h.Advance(3)
		}, Interest{Keys: []string{"server/a"}, Prefixes: []string{"configuration/"}}, 0, 1000,
			[]Batch{{To: 3, Updates: []Update{put(1, "server/a", "1"), put(2, "configuration/x", "1")}}}, 3},
		{"a batch ends only between change sets", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Advance(1)
			h.Put(2, "b", bytesOf("1"))
			h.Put(3, "c", bytesOf("1"))
			h.Advance(4)
			h.Put(5, "d", bytesOf("1"))
			h.Advance(5)
		}, allKeys, 0, sizeOfTwo, []Batch{
			{From: 0, To: 1, Updates: []Update{put(1, "a", "1")}},
			{From: 1, To: 4, Updates: []Update{put(2, "b", "1"), put(3, "c", "1")}},
			{From: 4, To: 5, Updates: []Update{put(5, "d", "1")}},
		}, 5},
		{"a change set up to half too large is sent alone", func(h *History) {
			for i, key := range []string{"a", "b", "c"} {
				h.Put(uint64(i+1), key, bytesOf("1"))
			}
			h.Advance(3)
			h.Put(4, "d", bytesOf("1"))
			h.Advance(4)
		}, allKeys, 0, sizeOfTwo, []Batch{
			{From: 0, To: 3, Updates: []Update{put(1, "a", "1"), put(2, "b", "1"), put(3, "c", "1")}},
			{From: 3, To: 4, Updates: []Update{put(4, "d", "1")}},
		}, 4},
		{"a larger change set is replaced by a snapshot", func(h *History) {
			for i, key := range []string{"d", "c", "b", "a"} {
				h.Put(uint64(i+1), key, bytesOf("1"))
			}
			h.Advance(9)
		}, allKeys, 0, sizeOfTwo, []Batch{
			{From: 0, To: 9, Snapshot: true, First: true, Updates: []Update{put(4, "a", "1"), put(3, "b", "1")}},
			{From: 2, To: 9, Snapshot: true, Last: true, Updates: []Update{put(2, "c", "1"), put(1, "d", "1")}},
		}, 9},
		{"an update that is too large is sent alone", func(h *History) {
			for i, key := range []string{"a", "b", "c"} {
				h.Put(uint64(i+1), key, bytesOf(strings.Repeat("1", 1+200*(i%2))))
				h.Advance(uint64(i + 1))
			}
		}, allKeys, 0, 100, []Batch{
			{From: 0, To: 1, Updates: []Update{put(1, "a", "1")}},
			{From: 1, To: 2, Updates: []Update{put(2, "b", strings.Repeat("1", 201))}},
			{From: 2, To: 3, Updates: []Update{put(3, "c", "1")}},
		}, 3},
		{"reader ahead of the history", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Advance(5)
		}, allKeys, 6, 100, nil, 6},
		{"from the middle of a change set", func(h *History) {
			h.Put(1, "a", bytesOf("1"))
			h.Put(3, "b", bytesOf("1"))
			h.Advance(5)
		}, allKeys, 2, 100, []Batch{{From: 2, To: 5, Updates: []Update{put(3, "b", "1")}}}, 5},
		{"nothing while a raft snapshot is loaded", func(h *History) {
			h.Reset(5)
			h.Put(2, "a", bytesOf("1"))
		}, allKeys, 0, 100, nil, 0},
		{"a raft snapshot", func(h *History) {
			h.Put(1, "z", bytesOf("1"))
			h.Advance(1)
			h.Reset(5)
			h.Put(4, "b", bytesOf("1"))
			h.Put(2, "a", bytesOf("1"))
			h.Advance(5)
		}, allKeys, 4, 100, []Batch{{To: 5, Snapshot: true, First: true, Last: true,
			Updates: []Update{put(2, "a", "1"), put(4, "b", "1")}}}, 5},
		{"after a raft snapshot", func(h *History) {
			h.Reset(5)
			h.Put(4, "b", bytesOf("1"))
			h.Advance(5)
			h.Put(6, "c", bytesOf("1"))
			h.Advance(6)
		}, allKeys, 5, 100, []Batch{{From: 5, To: 6, Updates: []Update{put(6, "c", "1")}}}, 6},
		{"a snapshot without keys", func(h *History) {
			h.Reset(5)
			h.Advance(5)
		}, allKeys, 0, 100, []Batch{{To: 5, Snapshot: true, First: true, Last: true, Updates: []Update{}}}, 5},
		{"a snapshot of overlapping interests has a key once", func(h *History) {
			h.Reset(5)
			h.Put(1, "aa", bytesOf("1"))
			h.Put(1, "ab", bytesOf("1"))
			h.Put(1, "b", bytesOf("1"))
			h.Advance(5)
		}, Interest{Keys: []string{"ab", "c"}, Prefixes: []string{"aa", "a"}}, 0, 100,
			[]Batch{{To: 5, Snapshot: true, First: true, Last: true, Updates: []Update{put(1, "aa", "1"), put(1, "ab", "1")}}}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := NewHistory(largeLimits)
			test.feed(h)
			r := h.NewReader(test.interest, test.after)
			checkBatches(t, drain(r, test.maxBytes), test.want)
			if r.Position() != test.position {
				t.Errorf("position %d, want %d", r.Position(), test.position)
			}
		})
	}
}

func TestCompaction(t *testing.T) {
	one := len("a") + len("1") + UpdateOverhead
	tests := []struct {
		name      string
		limits    Limits
		compacted uint64
	}{
		{"by updates", Limits{Bytes: 1 << 20, Updates: 4}, 2},
		{"by bytes", Limits{Bytes: 4 * one, Updates: 100}, 2},
		{"one of two updates with the same revision", Limits{Bytes: 1 << 20, Updates: 3}, 4},
		{"all", Limits{}, 6},
		{"none", largeLimits, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := NewHistory(test.limits)
			for i, revision := range []uint64{1, 2, 4, 4, 5, 6} {
				h.Put(revision, "a", bytesOf(fmt.Sprint(i)))
			}
			h.Advance(7)
			if h.Compacted() != test.compacted {
				t.Fatalf("compacted %d, want %d", h.Compacted(), test.compacted)
			}
			for after := range uint64(8) {
				r := h.NewReader(allKeys, after)
				if needs := after < test.compacted; r.Snapshotting() != needs {
					t.Errorf("reader at %d: needs a snapshot: %v", after, !needs)
				}
				batches := drain(r, 1000)
				if len(batches) > 0 && batches[0].Snapshot != (after < test.compacted) {
					t.Errorf("reader at %d received %v", after, batches)
				}
			}
		})
	}
}

// All batches of a snapshot are of one revision, whatever changes while it is sent, and updates continue from that
// revision.
func TestSnapshotHasOneRevision(t *testing.T) {
	h := NewHistory(Limits{Bytes: 1 << 20, Updates: 2})
	for i, key := range []string{"a", "b", "c", "d"} {
		h.Put(uint64(i+1), key, bytesOf("old"))
		h.Advance(uint64(i + 1))
	}
	r := h.NewReader(allKeys, 0)
	first, _ := r.Next(1)
	h.Put(5, "b", bytesOf("new"))
	h.Delete(6, "d")
	h.Advance(6)
	if !r.Snapshotting() || r.Position() != 4 {
		t.Fatalf("snapshotting: %v, position: %d", r.Snapshotting(), r.Position())
	}
	checkBatches(t, append([]Batch{first}, drain(r, 1)...), []Batch{
		{From: 0, To: 4, Snapshot: true, First: true, Updates: []Update{put(1, "a", "old")}},
		{From: 1, To: 4, Snapshot: true, Updates: []Update{put(2, "b", "old")}},
		{From: 2, To: 4, Snapshot: true, Updates: []Update{put(3, "c", "old")}},
		{From: 3, To: 4, Snapshot: true, Last: true, Updates: []Update{put(4, "d", "old")}},
		// The updates of one change set exceed the batch size, so another snapshot follows.
		{From: 0, To: 6, Snapshot: true, First: true, Updates: []Update{put(1, "a", "old")}},
		{From: 1, To: 6, Snapshot: true, Updates: []Update{put(5, "b", "new")}},
		{From: 2, To: 6, Snapshot: true, Last: true, Updates: []Update{put(3, "c", "old")}},
	})
}

// A reader that needs a snapshot waits while the newest values are between two revisions.
func TestSnapshotWaitsForAdvance(t *testing.T) {
	h := NewHistory(Limits{Bytes: 1 << 20, Updates: 1})
	h.Put(1, "a", bytesOf("1"))
	h.Put(2, "a", bytesOf("2"))
	h.Advance(2)
	r := h.NewReader(allKeys, 0)
	h.Put(3, "a", bytesOf("3"))
	if b, ok := r.Next(100); ok {
		t.Fatalf("got %v", b)
	}
	h.Advance(3)
	checkBatches(t, drain(r, 100), []Batch{{To: 3, Snapshot: true, First: true, Last: true, Updates: []Update{put(3, "a", "3")}}})
}

// A reader without updates of interest reports its progress before the updates that it skipped are dropped, so that
// its view can always continue at another node without a snapshot. It needs few batches for that.
func TestReaderReportsProgress(t *testing.T) {
	for _, limits := range []Limits{{Bytes: 1 << 20, Updates: 10}, {Bytes: 10 * (len("other") + len("1") + UpdateOverhead), Updates: 1000}} {
		h, v := NewHistory(limits), NewView()
		r := h.NewReader(Interest{Keys: []string{"own"}}, 0)
		batches := 0
		for revision := uint64(1); revision <= 1000; revision++ {
			h.Put(revision, "other", bytesOf(fmt.Sprint(revision%2)))
			h.Advance(revision)
			for _, b := range drain(r, 100) {
				batches++
				if _, err := v.Apply(b); err != nil || b.Snapshot {
					t.Fatalf("%v: %v", b, err)
				}
			}
			if v.Revision() < h.Compacted() || r.Position() != revision {
				t.Fatalf("view at %d, reader at %d, compacted %d of %d", v.Revision(), r.Position(), h.Compacted(), revision)
			}
		}
		if batches > 1000/5 {
			t.Errorf("%d batches", batches)
		}
	}
}

func TestHistoryPanicsOnDecreasingRevision(t *testing.T) {
	tests := []struct {
		name string
		call func(h *History)
	}{
		{"put at the current revision", func(h *History) { h.Put(5, "b", nil) }},
		{"delete at the current revision", func(h *History) { h.Delete(5, "a") }},
		{"put below an earlier put", func(h *History) { h.Put(7, "b", nil); h.Put(6, "c", nil) }},
		{"advance", func(h *History) { h.Advance(4) }},
		{"advance below an earlier put", func(h *History) { h.Put(7, "b", nil); h.Advance(6) }},
		{"reset", func(h *History) { h.Reset(4) }},
		{"put below a reset after the next revision", func(h *History) {
			h.Reset(8)
			h.Put(3, "a", nil)
			h.Advance(8)
			h.Put(4, "b", nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := NewHistory(largeLimits)
			h.Put(5, "a", bytesOf("1"))
			h.Advance(5)
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			test.call(h)
		})
	}
}

// viewContents returns all values in a view.
func viewContents(v *View) []Update { return slices.Collect(v.All("")) }

func TestViewApply(t *testing.T) {
	start := Batch{From: 0, To: 10, Updates: []Update{put(3, "a", "1"), put(5, "b", "1"), put(5, "c", "1")}}
	held := []Update{put(3, "a", "1"), put(5, "b", "1"), put(5, "c", "1")}
	part := func(from, to uint64, first, last bool, updates ...Update) Batch {
		return Batch{From: from, To: to, Snapshot: true, First: first, Last: last, Updates: updates}
	}
	tests := []struct {
		name     string
		batches  []Batch // the result of the last one is checked
		err      error
		changed  []Update
		revision uint64
		held     []Update
	}{
		{"empty batch", []Batch{{From: 10, To: 12}}, nil, nil, 12, held},
		{"put and delete", []Batch{{From: 10, To: 12, Updates: []Update{put(11, "a", "2"), deletion(12, "b")}}}, nil,
			[]Update{put(11, "a", "2"), deletion(12, "b")}, 12, []Update{put(11, "a", "2"), put(5, "c", "1")}},
		{"one key several times", []Batch{{From: 10, To: 12, Updates: []Update{put(11, "a", "2"), deletion(11, "a"), put(12, "a", "3")}}}, nil,
			[]Update{put(11, "a", "2"), deletion(11, "a"), put(12, "a", "3")}, 12, []Update{put(12, "a", "3"), put(5, "b", "1"), put(5, "c", "1")}},
		{"same value and unknown key change nothing", []Batch{{From: 10, To: 12, Updates: []Update{put(11, "a", "1"), deletion(12, "x")}}}, nil,
			nil, 12, []Update{put(11, "a", "1"), put(5, "b", "1"), put(5, "c", "1")}},
		{"duplicate", []Batch{start}, ErrGap, nil, 10, held},
		{"a gap", []Batch{{From: 11, To: 12}}, ErrGap, nil, 10, held},
		{"backwards", []Batch{{From: 10, To: 9}}, ErrOrder, nil, 10, held},
		{"same revision", []Batch{{From: 10, To: 10}}, ErrOrder, nil, 10, held},
		{"updates that descend", []Batch{{From: 10, To: 12, Updates: []Update{put(12, "a", "2"), put(11, "b", "2")}}}, ErrOrder, nil, 10, held},
		{"an update before the batch", []Batch{{From: 10, To: 12, Updates: []Update{put(10, "a", "2")}}}, ErrOrder, nil, 10, held},
		{"an update after the batch", []Batch{{From: 10, To: 12, Updates: []Update{put(13, "a", "2")}}}, ErrOrder, nil, 10, held},
		{"a snapshot", []Batch{part(0, 20, true, true, put(3, "a", "1"), put(15, "b", "2"), put(16, "d", "1"))}, nil,
			[]Update{put(15, "b", "2"), deletion(20, "c"), put(16, "d", "1")}, 20, []Update{put(3, "a", "1"), put(15, "b", "2"), put(16, "d", "1")}},
		{"an empty snapshot", []Batch{part(0, 20, true, true)}, nil,
			[]Update{deletion(20, "a"), deletion(20, "b"), deletion(20, "c")}, 20, nil},
		{"part of a snapshot", []Batch{part(0, 20, true, false, put(15, "b", "2"))}, nil, nil, 10, held},
		{"both parts", []Batch{part(0, 20, true, false, put(15, "b", "2")), part(1, 20, false, true, put(15, "c", "2"))}, nil,
			[]Update{deletion(20, "a"), put(15, "b", "2"), put(15, "c", "2")}, 20, []Update{put(15, "b", "2"), put(15, "c", "2")}},
		{"a part is missing", []Batch{part(0, 20, true, false, put(15, "b", "2")), part(2, 20, false, true, put(15, "d", "2"))}, ErrGap, nil, 10, held},
		{"a part twice", []Batch{part(0, 20, true, false, put(15, "b", "2")), part(1, 20, false, false, put(15, "c", "2")), part(1, 20, false, false, put(15, "c", "2"))}, ErrGap, nil, 10, held},
		{"the first part is missing", []Batch{part(0, 20, false, true, put(15, "b", "2"))}, ErrGap, nil, 10, held},
		{"a part of another snapshot", []Batch{part(0, 20, true, false, put(15, "b", "2")), part(1, 21, false, true, put(15, "c", "2"))}, ErrGap, nil, 10, held},
		{"a first part after others", []Batch{part(1, 20, true, true, put(15, "b", "2"))}, ErrGap, nil, 10, held},
		{"an interrupted snapshot", []Batch{part(0, 20, true, false, put(15, "b", "2")), part(0, 21, true, true, put(15, "c", "2"))}, nil,
			[]Update{deletion(21, "a"), deletion(21, "b"), put(15, "c", "2")}, 21, []Update{put(15, "c", "2")}},
		{"updates after part of a snapshot", []Batch{part(0, 20, true, false, put(15, "b", "2")), {From: 20, To: 21}}, ErrGap, nil, 10, held},
		{"updates in place of the rest of a snapshot", []Batch{part(0, 20, true, false, put(15, "b", "2")), {From: 10, To: 12, Updates: []Update{put(11, "a", "2")}}}, nil,
			[]Update{put(11, "a", "2")}, 12, []Update{put(11, "a", "2"), put(5, "b", "1"), put(5, "c", "1")}},
		{"the rest of a snapshot after updates", []Batch{part(0, 20, true, false, put(15, "b", "2")), {From: 10, To: 12}, part(1, 20, false, true)}, ErrGap, nil, 12, held},
		{"an old snapshot", []Batch{part(0, 9, true, true)}, ErrGap, nil, 10, held},
		{"a snapshot at the current revision", []Batch{part(0, 10, true, true)}, ErrGap, nil, 10, held},
		{"a snapshot out of order", []Batch{part(0, 20, true, true, put(15, "c", "2"), put(15, "b", "2"))}, ErrOrder, nil, 10, held},
		{"a key twice in a snapshot", []Batch{part(0, 20, true, false, put(15, "c", "2")), part(1, 20, false, true, put(15, "c", "2"))}, ErrOrder, nil, 10, held},
		{"a deletion in a snapshot", []Batch{part(0, 20, true, true, deletion(15, "c"))}, ErrOrder, nil, 10, held},
		{"an update after its snapshot", []Batch{part(0, 20, true, true, put(21, "c", "2"))}, ErrOrder, nil, 10, held},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := NewView()
			if _, err := v.Apply(start); err != nil {
				t.Fatal(err)
			}
			last := len(test.batches) - 1
			for _, b := range test.batches[:last] {
				if _, err := v.Apply(b); err != nil {
					t.Fatal(err)
				}
			}
			changed, err := v.Apply(test.batches[last])
			if !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			if err != nil && strings.Contains(err.Error(), "\n") {
				t.Errorf("error spans several lines: %q", err)
			}
			if diff := cmp.Diff(test.changed, changed, cmp.AllowUnexported(Update{})); diff != "" {
				t.Errorf("changed (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.held, viewContents(v), cmp.AllowUnexported(Update{})); diff != "" {
				t.Errorf("holds (-want +got):\n%s", diff)
			}
			if v.Revision() != test.revision {
				t.Errorf("revision %d, want %d", v.Revision(), test.revision)
			}
		})
	}
}

// A rejected batch leaves a partial snapshot unchanged.
func TestRejectedBatchKeepsSnapshot(t *testing.T) {
	v := NewView()
	first := Batch{To: 20, Snapshot: true, First: true, Updates: []Update{put(1, "a", "1"), put(1, "b", "1")}}
	last := Batch{From: 2, To: 20, Snapshot: true, Last: true, Updates: []Update{put(1, "c", "1")}}
	for _, step := range []struct {
		batch Batch
		err   error
	}{
		{first, nil},
		{Batch{From: 2, To: 20, Snapshot: true, Updates: []Update{put(1, "c", "x"), put(1, "a", "x")}}, ErrOrder},
		{Batch{To: 21, Snapshot: true, First: true, Last: true, Updates: []Update{put(1, "c", "x"), put(1, "a", "x")}}, ErrOrder},
		{Batch{From: 3, To: 20, Snapshot: true, Last: true}, ErrGap},
		{Batch{From: 20, To: 22}, ErrGap},
		{last, nil},
	} {
		if _, err := v.Apply(step.batch); !errors.Is(err, step.err) {
			t.Fatalf("%v: error %v, want %v", step.batch, err, step.err)
		}
	}
	if got := v.Keys(""); !slices.Equal(got, []string{"a", "b", "c"}) || v.Revision() != 20 {
		t.Errorf("holds %v at %d", got, v.Revision())
	}
}

func TestViewBounds(t *testing.T) {
	one := len("a") + len("1") + UpdateOverhead
	snapshot := func(updates ...Update) Batch {
		return Batch{To: 20, Snapshot: true, First: true, Last: true, Updates: updates}
	}
	updates := func(updates ...Update) Batch { return Batch{From: 10, To: 20, Updates: updates} }
	tests := []struct {
		name    string
		maxKeys int
		bytes   int
		batch   Batch
		err     error
	}{
		{"keys", 2, 1000, updates(put(11, "c", "1")), ErrTooLarge},
		{"same number of keys", 2, 1000, updates(deletion(11, "a"), put(12, "c", "1")), nil},
		{"too many keys in between", 2, 1000, updates(put(11, "c", "1"), deletion(12, "a")), nil},
		{"bytes", 10, 2 * one, updates(put(11, "a", "12")), ErrTooLarge},
		{"bytes at the limit", 10, 2*one + 1, updates(put(11, "a", "12")), nil},
		{"keys of a snapshot", 2, 1000, snapshot(put(1, "a", "1"), put(1, "b", "1"), put(1, "c", "1")), ErrTooLarge},
		{"bytes of a snapshot", 10, 2 * one, snapshot(put(1, "x", "1"), put(1, "y", "12")), ErrTooLarge},
		{"a snapshot that replaces as many keys", 2, 2 * one, snapshot(put(1, "x", "1"), put(1, "y", "1")), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := NewView()
			v.maxKeys, v.maxBytes = test.maxKeys, test.bytes
			start := Batch{To: 10, Updates: []Update{put(1, "a", "1"), put(1, "b", "1")}}
			if _, err := v.Apply(start); err != nil {
				t.Fatal(err)
			}
			_, err := v.Apply(test.batch)
			if !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			if err != nil && (v.Revision() != 10 || !slices.Equal(v.Keys(""), []string{"a", "b"})) {
				t.Errorf("holds %v at %d after %v", v.Keys(""), v.Revision(), err)
			}
		})
	}
}

func TestViewByPrefix(t *testing.T) {
	v := NewView()
	var updates []Update
	for i, key := range []string{"b/", "a", "b/2", "b", "b0", "b/1", "c"} {
		updates = append(updates, put(uint64(i+1), key, key))
	}
	if _, err := v.Apply(Batch{To: 9, Updates: updates}); err != nil {
		t.Fatal(err)
	}
	for prefix, want := range map[string][]string{
		"":    {"a", "b", "b/", "b/1", "b/2", "b0", "c"},
		"b/":  {"b/", "b/1", "b/2"},
		"b/3": nil,
		"d":   nil,
	} {
		if got := v.Keys(prefix); !slices.Equal(got, want) {
			t.Errorf("keys with %q: %v, want %v", prefix, got, want)
		}
	}
	if u, ok := v.Get("b/2"); !ok || u.Revision != 3 || string(u.Value) != "b/2" {
		t.Errorf("b/2 has value %v, found: %v", u, ok)
	}
	if _, ok := v.Get("b/3"); ok {
		t.Error("b/3 exists")
	}
	for u := range v.All("b") {
		if u.Key != "b" {
			t.Errorf("the first key is in %v", u)
		}
		break
	}
}

// The digest depends on every key, revision and value, and on the boundaries between them.
func TestDigest(t *testing.T) {
	sums := map[uint64]string{}
	for _, updates := range [][]Update{
		nil,
		{put(1, "p/a", "1")},
		{put(2, "p/a", "1")},
		{put(1, "p/a", "2")},
		{put(1, "p/b", "1")},
		{put(1, "p/a1", "")},
		{put(1, "p/", "a1")},
		{put(1, "p/a", "1"), put(1, "p/b", "1")},
	} {
		v := NewView()
		if _, err := v.Apply(Batch{To: 9, Updates: append([]Update{put(1, "o", "1")}, updates...)}); err != nil {
			t.Fatal(err)
		}
		sum := v.Digest("p/")
		if other, ok := sums[sum]; ok {
			t.Errorf("%v and %s have the same digest", updates, other)
		}
		sums[sum] = fmt.Sprint(updates)
		hash := NewHash()
		for _, u := range updates {
			hash.Add(strings.TrimPrefix(u.Key, "p/"), u.Revision, u.Value)
		}
		if hash.Sum() != sum {
			t.Errorf("%v: digest %x, hashed directly %x", updates, sum, hash.Sum())
		}
	}
}

// The encoded size of a batch of very small or very large updates does not exceed the counted size.
func TestUpdateOverheadCoversEncoding(t *testing.T) {
	for _, u := range []Update{
		{Revision: 1<<64 - 1, Key: "a"},
		{Revision: 1<<64 - 1, Key: strings.Repeat("k", 300), Value: make([]byte, 1<<17)},
	} {
		const n = 300
		data, err := cbor.Marshal(Batch{To: 1<<64 - 1, Updates: slices.Repeat([]Update{u}, n)})
		if err != nil {
			t.Fatal(err)
		}
		const frame = 32 // encoding of the batch itself
		if len(data) > n*u.size()+frame {
			t.Errorf("%d bytes for %d updates of size %d", len(data), n, u.size())
		}
	}
}
