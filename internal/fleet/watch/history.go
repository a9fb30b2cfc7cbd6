package watch

import (
	"bytes"
	"fmt"
)

// Limits bounds the recent updates that a History keeps, whatever its readers do. A reader that is further behind receives
// a snapshot. Beside Bytes each update takes pointers and entries of an index, which Updates bounds. The newest values
// are bounded by the state that they come from.
type Limits struct {
	Bytes   int // of keys and values, and UpdateOverhead for each update
	Updates int
}

// History holds the newest value of each key and the recent updates.
//
// Readers may move between histories of the same state, one at each node, that were fed at different moments. A revision
// therefore has to mean the same at all of them: Advance(r) says that every change of the state up to r has been given. In
// between a feeder may leave out all but the newest change of a key, and give that one late: at a revision between the
// change's own and the next r. Readers stand at revisions that were advanced to, never between.
//
// A key of which values are left out must not come back to an earlier value within what is left out: the Put would be
// taken for no update, and a reader that came from another history in between would keep what it saw there. A value that
// carries the index of its last change never does. A key of which every change is given may take any values.
type History struct {
	newest    table
	recent    recentUpdates
	revision  uint64
	given     uint64 // the highest revision of a Put or Delete
	compacted uint64
	loading   bool // between Reset and the next Advance
}

// NewHistory makes an empty history at revision 0.
func NewHistory(limits Limits) *History {
	return &History{recent: newRecentUpdates(limits)}
}

// Reset drops everything: the state was replaced by a snapshot of raft as of a revision. The caller then calls Put for
// each key, at that or lower revisions and in any order, and Advance. Until Advance readers get nothing. It panics if the
// revision goes back: raft never does.
func (h *History) Reset(revision uint64) {
	h.mustNotGoBack("Reset", revision)
	h.newest = table{}
	h.recent.reset()
	h.revision, h.given, h.compacted = revision, revision, revision
	h.loading = true
}

// Put sets the value of a key from a revision on. Readers get it once Advance has reached the revision. A value equal to
// the present one is no update, and its key keeps its revision. The value must not be changed any more. Put panics if the
// revision has been advanced to already, or is below that of an earlier Put or Delete; after Reset see there.
func (h *History) Put(revision uint64, key string, value []byte) {
	old := h.newest.get(key)
	if old != nil && bytes.Equal(old.Value, value) {
		return
	}
	h.take(&Update{Revision: revision, Key: key, Value: value})
}

// Delete removes a key from a revision on, as Put does. It is an update also where the key is unknown: a reader may come
// from a history that was given a value in between.
func (h *History) Delete(revision uint64, key string) {
	h.take(&Update{Revision: revision, Key: key, Deleted: true})
}

// take carries out an update.
func (h *History) take(u *Update) {
	if h.loading && u.Revision <= h.revision {
		h.newest.set(u)
		return
	}
	if u.Revision <= h.revision || u.Revision < h.given {
		panic(fmt.Sprintf("watch: update at revision %d, advanced to %d and given %d", u.Revision, h.revision, h.given))
	}
	h.given = u.Revision
	h.newest.set(u)
	h.compacted = max(h.compacted, h.recent.add(u))
}

// Advance tells that every change up to a revision has been given by Put and Delete. What was given since the last call is
// one step to readers: they get all of it or nothing. It panics if the revision goes back.
func (h *History) Advance(revision uint64) {
	h.mustNotGoBack("Advance", revision)
	h.revision, h.given = revision, revision
	h.loading = false
	h.recent.advance(revision)
}

func (h *History) mustNotGoBack(call string, revision uint64) {
	if revision < max(h.revision, h.given) {
		panic(fmt.Sprintf("watch: %s(%d), advanced to %d and given %d", call, revision, h.revision, h.given))
	}
}

// Revision is what the history has been advanced to.
func (h *History) Revision() uint64 { return h.revision }

// Compacted is the revision that a reader must have reached to continue by updates; one before it needs a snapshot.
func (h *History) Compacted() uint64 { return h.compacted }

// whole tells that the newest values are those as of Revision: nothing is being loaded or waits for Advance.
func (h *History) whole() bool { return !h.loading && h.given == h.revision }

// NewReader makes a reader for a view that has all updates up to a revision; 0 = none. It costs the history nothing.
func (h *History) NewReader(interest Interest, after uint64) *Reader {
	return &Reader{history: h, interest: interest, position: after, sent: after}
}
