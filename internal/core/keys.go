package core

import (
	"container/list"
	"slices"
	"time"
)

// The table of keys: what is known of each key, and how much memory that takes.

const (
	entryOverheadBytes = 512     // of an entry, without its token and result
	resultReserveBytes = 4 << 10 // reserved for the result of an entry
)

// phase is the state of an entry.
type phase uint8

const (
	phaseClaiming phase = iota // the shared store has not answered
	phaseOpen                  // the owner is held, or its run continues
	phaseDone                  // the run ended well, and its result is kept
	phaseFailed                // the run failed, or its result was dropped
	phaseStoring               // the run is over and the store has not confirmed its result
	phaseLost                  // the claim may belong to another server
)

// entry is what is known about one key: which try owns it, and how that ended.
type entry struct {
	key            Key
	sum            [32]byte // SHA-256 of the body, the same for all tries
	owner          *request // nil once it is over
	phase          phase
	ran            bool
	succeeded      bool    // the run ended well
	worthEarned    bool    // a result was sent
	claimHeld      bool    // the claim in the shared store is this server's
	claimID        ClaimID // of the claim that is made or held; 0 = none, or one that was taken over
	result         []byte
	waiters        []*request
	otherOwnerSeen time.Duration // when another server was last known to own the key; 0 = never
	size           int
	keepUntil      time.Duration
	expiryTimer    timer
	claimTimer     timer         // claims the key again; set while another server holds it
	resultElement  *list.Element // its place in keyTable.withResult; nil without a result
}

// removeWaiter removes a request that no longer waits for the entry's owner.
func (e *entry) removeWaiter(r *request) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w *request) bool { return w == r })
}

// keyTable holds the entries of all known keys.
type keyTable struct {
	entries    map[Key]*entry
	bytes      int       // accounted size of all entries
	withResult list.List // entries with a result, the oldest first
}

// resize changes the accounted size of an entry that is in the table.
func (t *keyTable) resize(e *entry, size int) {
	if t.entries[e.key] == e {
		t.bytes += size - e.size
		e.size = size
	}
}

func (t *keyTable) remove(e *entry) {
	t.dropResult(e)
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
		t.bytes -= e.size
	}
}

// keepResult records that an entry has its result.
func (t *keyTable) keepResult(e *entry) { e.resultElement = t.withResult.PushBack(e) }

// dropResult drops the result of an entry, if it has one. Its accounted size stays.
func (t *keyTable) dropResult(e *entry) {
	e.result = nil
	if e.resultElement != nil {
		t.withResult.Remove(e.resultElement)
		e.resultElement = nil
	}
}

// evictResults drops the oldest results until the table fits the limit. That a try has run is still remembered for
// its window, so a repeat then fails, which costs less than refusing new requests.
func (t *keyTable) evictResults(limit int) {
	for t.bytes > limit && t.withResult.Len() > 0 {
		e := t.withResult.Front().Value.(*entry)
		t.resize(e, e.size-len(e.result))
		t.dropResult(e)
		e.phase = phaseFailed
	}
}
