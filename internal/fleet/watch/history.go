package watch

import (
	"bytes"
	"fmt"
)

// Limits bounds the recent updates that a History keeps, independently of its readers. A reader that is further
// behind receives a snapshot. Apart from Bytes, each update uses pointers and index entries, which Updates bounds.
// The newest values are not limited here; they are bounded by the state that they come from.
type Limits struct {
	Bytes   int // of keys and values, plus UpdateOverhead per update
	Updates int
}

// History holds the newest value of each key and the recent updates.
//
// Readers may move between the histories of several nodes, which hold the same state but are updated at different
// times. A revision must therefore mean the same in all of them: Advance(r) declares that all changes of the state
// up to r have been added. Between two calls of Advance the caller may omit all but the newest change of a key, and
// may add that one late, at any revision from the change's own up to the next r. Readers only stop at revisions
// passed to Advance.
//
// If changes of a key are omitted, the key must not return to an earlier value within the omitted changes.
// Otherwise Put would ignore the last change as a repetition, and a reader that came from another history in
// between would keep the value it saw there. A value that contains the index of its last change never repeats. A
// key whose changes are all added may take any values.
type History struct {
	newest        table
	recent        recentUpdates
	revision      uint64
	highestUpdate uint64 // highest revision of a Put or Delete
	compacted     uint64
	loading       bool // between Reset and the next Advance
}

// NewHistory returns an empty history at revision 0.
func NewHistory(limits Limits) *History {
	return &History{recent: newRecentUpdates(limits)}
}

// Reset drops all content, because the state was replaced by a raft snapshot at a revision. The caller must then
// call Put for each key, at this or lower revisions and in any order, and then Advance. Until then readers receive
// nothing. Reset panics if the revision decreases, which never happens in raft.
func (h *History) Reset(revision uint64) {
	h.mustNotDecrease("Reset", revision)
	h.newest = table{}
	h.recent.reset()
	h.revision, h.highestUpdate, h.compacted = revision, revision, revision
	h.loading = true
}

// Put sets the value of a key at a revision. Readers receive it once Advance has reached that revision. A value
// equal to the present one is not an update, and the key keeps its revision. The value must not be modified
// afterwards. Put panics if Advance has already reached the revision, or if the revision is below that of an
// earlier Put or Delete. After Reset the rules given there apply.
func (h *History) Put(revision uint64, key string, value []byte) {
	old := h.newest.get(key)
	if old != nil && bytes.Equal(old.Value, value) {
		return
	}
	h.record(&Update{Revision: revision, Key: key, Value: value})
}

// Delete removes a key at a revision, under the same rules as Put. It counts as an update even if the key is
// unknown, because a reader may come from a history that held a value in between.
func (h *History) Delete(revision uint64, key string) {
	h.record(&Update{Revision: revision, Key: key, Deleted: true})
}

// record adds an update.
func (h *History) record(u *Update) {
	if h.loading && u.Revision <= h.revision {
		h.newest.set(u)
		return
	}
	if u.Revision <= h.revision || u.Revision < h.highestUpdate {
		panic(fmt.Sprintf("watch: update at revision %d, already advanced to %d and updated at %d", u.Revision, h.revision, h.highestUpdate))
	}
	h.highestUpdate = u.Revision
	h.newest.set(u)
	h.compacted = max(h.compacted, h.recent.add(u))
}

// Advance declares that all changes up to a revision have been added by Put and Delete. Readers receive the changes
// added since the last call either all or not at all. Advance panics if the revision decreases.
func (h *History) Advance(revision uint64) {
	h.mustNotDecrease("Advance", revision)
	h.revision, h.highestUpdate = revision, revision
	h.loading = false
	h.recent.closeSet(revision)
}

func (h *History) mustNotDecrease(call string, revision uint64) {
	if revision < max(h.revision, h.highestUpdate) {
		panic(fmt.Sprintf("watch: %s(%d), already advanced to %d and updated at %d", call, revision, h.revision, h.highestUpdate))
	}
}

// Revision returns the revision that Advance has reached.
func (h *History) Revision() uint64 { return h.revision }

// Compacted returns the lowest revision from which a reader can continue by updates; a reader before it needs a
// snapshot.
func (h *History) Compacted() uint64 { return h.compacted }

// consistent reports whether the newest values are those at Revision: no snapshot is being loaded, and no update
// waits for Advance.
func (h *History) consistent() bool { return !h.loading && h.highestUpdate == h.revision }

// NewReader returns a reader for a view that has all updates up to a revision; 0 = none. The history keeps no state
// of its readers.
func (h *History) NewReader(interest Interest, after uint64) *Reader {
	return &Reader{history: h, interest: interest, position: after, sentRevision: after}
}
