// Package watch carries the changes of a revisioned set of keys to its readers, in order and without gaps, as etcd's
// watch does: a History holds the newest value of each key and the recent updates; a Reader is one watcher's position in
// it; a View is the copy that a watcher builds from the batches it receives. A reader whose position has been compacted
// away receives a snapshot of the keys it is interested in, and continues from the revision of that snapshot.
//
// The package does no I/O, reads no clock and starts no goroutine. Nothing in it is safe for concurrent use.
package watch

import "strings"

// Update is the value that a key has from a revision on.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Key      string
	Value    []byte // not to be changed
	Deleted  bool   // the key is gone; Value is empty
}

// Batch takes a view from one revision to another.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// From is the revision that the view must be at. In a snapshot it is the number of updates in the batches of the
	// snapshot before this one: a view finds by it that one of them is missing.
	From uint64
	// To is the revision that the view is at once it has the batch: every update up to it that the reader is
	// interested in has been sent. In a snapshot all batches have the revision as of which it was taken.
	To uint64
	// Snapshot tells that the updates are part of a whole copy. It replaces what the view has, at once, when the batch
	// with Last has come.
	Snapshot bool
	First    bool // the first batch of a snapshot
	Last     bool // the last batch of a snapshot
	// Updates ascend by revision; in a snapshot by key.
	Updates []Update
}

// UpdateOverhead is what each update counts for on top of its key and value, against every bound in bytes here. It is no
// less than what its encoding adds.
const UpdateOverhead = 24

// size is what an update counts for against a bound in bytes.
func (u *Update) size() int { return len(u.Key) + len(u.Value) + UpdateOverhead }

// Interest tells which keys a reader receives. It is made by the reader's owner, and short.
type Interest struct {
	_        struct{} `cbor:",toarray"`
	Keys     []string // whole keys
	Prefixes []string
}

// includes tells that a reader with this interest receives a key.
func (i *Interest) includes(key string) bool {
	for _, wanted := range i.Keys {
		if key == wanted {
			return true
		}
	}
	for _, prefix := range i.Prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
