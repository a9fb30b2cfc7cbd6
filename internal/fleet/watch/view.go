package watch

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strings"
)

// Limits of a view. An app server holds the whole configuration (at most 8 MiB) and its own key. While a snapshot
// arrives there are two copies, which share the unchanged values.
const (
	MaxViewKeys  = 8192
	MaxViewBytes = 9 << 20 // of keys and values, plus UpdateOverhead per key
)

// Errors of View.Apply. A rejected batch leaves the view unchanged.
var (
	ErrGap      = errors.New("batch does not continue at the view's revision")
	ErrOrder    = errors.New("updates out of order")
	ErrTooLarge = errors.New("view size limit exceeded")
)

// View is the copy of the keys of interest that a watcher builds from batches.
type View struct {
	revision uint64
	table    table
	partial  *partialSnapshot // snapshot being received; nil = none
	maxKeys  int
	maxBytes int
}

// partialSnapshot is the part of a snapshot that has arrived so far.
type partialSnapshot struct {
	revision uint64
	table    table
}

// NewView returns an empty view at revision 0.
func NewView() *View { return &View{maxKeys: MaxViewKeys, maxBytes: MaxViewBytes} }

// Apply applies a batch and returns the resulting changes: the updates in order, without those that left the value
// unchanged. At the end of a snapshot the changes are the differences to the previous content, including deletions,
// in order of keys.
func (v *View) Apply(b Batch) (changed []Update, err error) {
	if b.Snapshot {
		return v.applySnapshot(&b)
	}
	return v.applyUpdates(&b)
}

func (v *View) applyUpdates(b *Batch) ([]Update, error) {
	if b.From != v.revision {
		return nil, fmt.Errorf("batch from revision %d for a view at revision %d: %w", b.From, v.revision, ErrGap)
	}
	if err := checkUpdates(b); err != nil {
		return nil, err
	}
	latest := make(map[string]*Update, len(b.Updates))
	bytesAfter, keysAfter := v.table.bytes, len(v.table.updates)
	var changed []Update
	for _, u := range b.Updates {
		before, again := latest[u.Key]
		if !again {
			before = v.table.get(u.Key)
		}
		bytesAfter += storedSize(&u) - storedSize(before)
		keysAfter += storedCount(&u) - storedCount(before)
		if !sameValue(before, &u) {
			changed = append(changed, u)
		}
		latest[u.Key] = &u
	}
	if err := v.checkSize(bytesAfter, keysAfter); err != nil {
		return nil, err
	}
	for _, u := range latest {
		v.table.set(u)
	}
	v.revision, v.partial = b.To, nil
	return changed, nil
}

// checkUpdates checks that the updates of a batch ascend and are within the batch's revisions.
func checkUpdates(b *Batch) error {
	if b.To <= b.From {
		return fmt.Errorf("batch from revision %d to %d: %w", b.From, b.To, ErrOrder)
	}
	last := b.From + 1
	for i := range b.Updates {
		revision := b.Updates[i].Revision
		if revision < last || revision > b.To {
			return fmt.Errorf("update at revision %d after %d in a batch to %d: %w", revision, last, b.To, ErrOrder)
		}
		last = revision
	}
	return nil
}

func (v *View) applySnapshot(b *Batch) ([]Update, error) {
	if b.To <= v.revision {
		return nil, fmt.Errorf("snapshot at revision %d for a view at revision %d: %w", b.To, v.revision, ErrGap)
	}
	partial := &partialSnapshot{revision: b.To}
	if !b.First {
		partial = v.partial
	}
	if partial == nil || partial.revision != b.To || uint64(len(partial.table.updates)) != b.From {
		return nil, fmt.Errorf("part of a snapshot at revision %d after %d updates: %w", b.To, b.From, ErrGap)
	}
	if err := v.checkSnapshotBatch(partial, b); err != nil {
		return nil, err
	}
	for _, u := range b.Updates {
		if old := v.table.get(u.Key); sameValue(old, &u) {
			u.Value = old.Value
		}
		partial.table.append(&u)
	}
	if !b.Last {
		v.partial = partial
		return nil, nil
	}
	changed := differences(&v.table, &partial.table, b.To)
	v.revision, v.table, v.partial = b.To, partial.table, nil
	return changed, nil
}

// checkSnapshotBatch checks that a batch continues the partial snapshot and is within the limits of the view.
func (v *View) checkSnapshotBatch(partial *partialSnapshot, b *Batch) error {
	bytesAfter, keysAfter := partial.table.bytes, len(partial.table.updates)
	last := ""
	if keysAfter > 0 {
		last = partial.table.updates[keysAfter-1].Key
	}
	for i := range b.Updates {
		u := &b.Updates[i]
		if keysAfter > 0 && u.Key <= last || u.Revision > b.To || u.Deleted {
			return fmt.Errorf("key %.70q after %.70q in a snapshot at revision %d: %w", u.Key, last, b.To, ErrOrder)
		}
		last = u.Key
		bytesAfter += u.size()
		keysAfter++
	}
	return v.checkSize(bytesAfter, keysAfter)
}

func (v *View) checkSize(bytesAfter, keysAfter int) error {
	if bytesAfter > v.maxBytes || keysAfter > v.maxKeys {
		return fmt.Errorf("%d keys with %d bytes, limits are %d keys and %d bytes: %w", keysAfter, bytesAfter, v.maxKeys, v.maxBytes, ErrTooLarge)
	}
	return nil
}

// hasValue reports whether the key has a value after an update; u may be nil.
func hasValue(u *Update) bool { return u != nil && !u.Deleted }

func storedSize(u *Update) int {
	if !hasValue(u) {
		return 0
	}
	return u.size()
}

func storedCount(u *Update) int {
	if !hasValue(u) {
		return 0
	}
	return 1
}

// sameValue reports whether a key has the same value after either update.
func sameValue(a, b *Update) bool {
	if !hasValue(a) || !hasValue(b) {
		return hasValue(a) == hasValue(b)
	}
	return bytes.Equal(a.Value, b.Value)
}

// differences returns the updates that lead from one table to another, in order of keys.
func differences(from, to *table, revision uint64) []Update {
	var changed []Update
	old := from.updates
	for _, u := range to.updates {
		for len(old) > 0 && old[0].Key < u.Key {
			changed = append(changed, Update{Revision: revision, Key: old[0].Key, Deleted: true})
			old = old[1:]
		}
		var before *Update
		if len(old) > 0 && old[0].Key == u.Key {
			before, old = old[0], old[1:]
		}
		if !sameValue(before, u) {
			changed = append(changed, *u)
		}
	}
	for _, u := range old {
		changed = append(changed, Update{Revision: revision, Key: u.Key, Deleted: true})
	}
	return changed
}

// Revision returns the revision of the last batch applied, for use with History.NewReader.
func (v *View) Revision() uint64 { return v.revision }

// Get returns the present value of a key.
func (v *View) Get(key string) (Update, bool) {
	u := v.table.get(key)
	if u == nil {
		return Update{}, false
	}
	return *u, true
}

// Keys returns the keys with a prefix, in order.
func (v *View) Keys(prefix string) []string {
	var keys []string
	for _, u := range v.table.withPrefix(prefix) {
		keys = append(keys, u.Key)
	}
	return keys
}

// All returns the present values of the keys with a prefix, in order of keys. The view must not be changed during
// the iteration.
func (v *View) All(prefix string) iter.Seq[Update] {
	return func(yield func(Update) bool) {
		for _, u := range v.table.withPrefix(prefix) {
			if !yield(*u) {
				return
			}
		}
	}
}

// Digest returns the Hash of the keys with a prefix. The prefix is removed from the keys before hashing.
func (v *View) Digest(prefix string) uint64 {
	hash := NewHash()
	for _, u := range v.table.withPrefix(prefix) {
		hash.Add(strings.TrimPrefix(u.Key, prefix), u.Revision, u.Value)
	}
	return hash.Sum()
}
