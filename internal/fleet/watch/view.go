package watch

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strings"
)

// Bounds of a view. An app server holds all of configuration (8 MiB at most) and its own key. While a snapshot comes in
// there are two copies, which share the values that did not change.
const (
	MaxViewKeys  = 8192
	MaxViewBytes = 9 << 20 // of keys and values, and UpdateOverhead for each key
)

// Errors of View.Apply. A batch that meets one leaves the view as it was.
var (
	ErrGap      = errors.New("the batch does not begin where the view stands")
	ErrOrder    = errors.New("updates out of order")
	ErrTooLarge = errors.New("more than a view holds")
)

// View is the copy of the keys of interest that a watcher builds from batches.
type View struct {
	revision uint64
	table    table
	partial  *partial // nil = no snapshot is coming in
	maxKeys  int
	maxBytes int
}

// partial is the part of a snapshot that has come.
type partial struct {
	to    uint64
	table table
}

// NewView makes an empty view at revision 0.
func NewView() *View { return &View{maxKeys: MaxViewKeys, maxBytes: MaxViewBytes} }

// Apply takes a batch and gives what it changed: updates in their order, less those that left the value as it was. At the
// end of a snapshot these are the differences to the copy before, with deletions, in order of keys.
func (v *View) Apply(b Batch) (changed []Update, err error) {
	if b.Snapshot {
		return v.applySnapshot(&b)
	}
	return v.applyUpdates(&b)
}

func (v *View) applyUpdates(b *Batch) ([]Update, error) {
	if b.From != v.revision {
		return nil, fmt.Errorf("batch from revision %d at revision %d: %w", b.From, v.revision, ErrGap)
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
		bytesAfter += heldSize(&u) - heldSize(before)
		keysAfter += heldCount(&u) - heldCount(before)
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

// checkUpdates tells whether the updates of a batch ascend between its revisions.
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
		return nil, fmt.Errorf("snapshot as of revision %d at revision %d: %w", b.To, v.revision, ErrGap)
	}
	into := &partial{to: b.To}
	if !b.First {
		into = v.partial
	}
	if into == nil || into.to != b.To || uint64(len(into.table.updates)) != b.From {
		return nil, fmt.Errorf("part of a snapshot as of revision %d, behind %d updates: %w", b.To, b.From, ErrGap)
	}
	if err := v.checkPart(into, b); err != nil {
		return nil, err
	}
	for _, u := range b.Updates {
		if old := v.table.get(u.Key); sameValue(old, &u) {
			u.Value = old.Value
		}
		into.table.append(&u)
	}
	if !b.Last {
		v.partial = into
		return nil, nil
	}
	changed := differences(&v.table, &into.table, b.To)
	v.revision, v.table, v.partial = b.To, into.table, nil
	return changed, nil
}

// checkPart tells whether a part of a snapshot continues what has come of it, within the bounds.
func (v *View) checkPart(into *partial, b *Batch) error {
	bytesAfter, keysAfter := into.table.bytes, len(into.table.updates)
	last := ""
	if keysAfter > 0 {
		last = into.table.updates[keysAfter-1].Key
	}
	for i := range b.Updates {
		u := &b.Updates[i]
		if keysAfter > 0 && u.Key <= last || u.Revision > b.To || u.Deleted {
			return fmt.Errorf("key %.70q after %.70q in a snapshot as of revision %d: %w", u.Key, last, b.To, ErrOrder)
		}
		last = u.Key
		bytesAfter += u.size()
		keysAfter++
	}
	return v.checkSize(bytesAfter, keysAfter)
}

func (v *View) checkSize(bytesAfter, keysAfter int) error {
	if bytesAfter > v.maxBytes || keysAfter > v.maxKeys {
		return fmt.Errorf("%d keys of %d bytes, at most %d of %d: %w", keysAfter, bytesAfter, v.maxKeys, v.maxBytes, ErrTooLarge)
	}
	return nil
}

// held tells that an update leaves a value behind; nil does not.
func held(u *Update) bool { return u != nil && !u.Deleted }

func heldSize(u *Update) int {
	if !held(u) {
		return 0
	}
	return u.size()
}

func heldCount(u *Update) int {
	if !held(u) {
		return 0
	}
	return 1
}

// sameValue tells that two updates leave the same behind.
func sameValue(a, b *Update) bool {
	if !held(a) || !held(b) {
		return held(a) == held(b)
	}
	return bytes.Equal(a.Value, b.Value)
}

// differences gives the updates that lead from one table to another, in order of keys.
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

// Revision is that of the newest batch applied, to be given to History.NewReader.
func (v *View) Revision() uint64 { return v.revision }

// Get gives the present value of a key.
func (v *View) Get(key string) (Update, bool) {
	u := v.table.get(key)
	if u == nil {
		return Update{}, false
	}
	return *u, true
}

// Keys gives the keys with a prefix, in order.
func (v *View) Keys(prefix string) []string {
	var keys []string
	for _, u := range v.table.withPrefix(prefix) {
		keys = append(keys, u.Key)
	}
	return keys
}

// All gives the present values of the keys with a prefix, in order of keys. The view must not change meanwhile.
func (v *View) All(prefix string) iter.Seq[Update] {
	return func(yield func(Update) bool) {
		for _, u := range v.table.withPrefix(prefix) {
			if !yield(*u) {
				return
			}
		}
	}
}

// Digest is the sum by Hash of the keys with a prefix, taken without it.
func (v *View) Digest(prefix string) uint64 {
	hash := NewHash()
	for _, u := range v.table.withPrefix(prefix) {
		hash.Add(strings.TrimPrefix(u.Key, prefix), u.Revision, u.Value)
	}
	return hash.Sum()
}
