package watch

// Limits bounds the recent updates that a History keeps. A reader that is further behind receives a snapshot.
type Limits struct {
	Bytes   int // of keys and values, and UpdateOverhead for each update
	Updates int
}

// History holds the newest value of each key and the recent updates.
type History struct {
	limits    Limits
	revision  uint64
	compacted uint64
}

// NewHistory makes an empty history at revision 0.
func NewHistory(limits Limits) *History { return &History{limits: limits} }

// Reset drops everything: the state was replaced by a snapshot of raft as of a revision. The caller then calls Put for
// each key, at that or lower revisions, and Advance. Until then readers get nothing. It panics if the revision goes back.
func (h *History) Reset(revision uint64) { h.revision, h.compacted = revision, revision }

// Put sets the value of a key from a revision on. Readers get it once Advance has reached the revision. A value equal to
// the present one is no update. It panics if the revision has been advanced to already, or is below that of an earlier Put
// or Delete. The value must not be changed any more.
func (h *History) Put(revision uint64, key string, value []byte) {}

// Delete removes a key from a revision on, as Put does. Deleting an unknown key is no update.
func (h *History) Delete(revision uint64, key string) {}

// Advance tells that every change up to a revision has been given by Put and Delete. It panics if the revision goes back.
func (h *History) Advance(revision uint64) { h.revision = revision }

// Revision is what the history has been advanced to.
func (h *History) Revision() uint64 { return h.revision }

// Compacted is the revision that a reader must have reached to continue by updates; one before it needs a snapshot.
func (h *History) Compacted() uint64 { return h.compacted }

// NewReader makes a reader for a view that has all updates up to a revision; 0 = none.
func (h *History) NewReader(interest Interest, after uint64) *Reader {
	return &Reader{history: h, interest: interest, position: after}
}
