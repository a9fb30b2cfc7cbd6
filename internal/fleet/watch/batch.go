// Package watch delivers the changes of a revisioned set of keys to watchers, in order and without gaps, like the
// watch of etcd. A History holds the newest value of each key and the recent updates. A Reader is the position of
// one watcher in a history. A View is the copy that a watcher builds from the batches it receives. A reader whose
// position has been compacted receives a snapshot of the keys of its interest and continues from the revision of
// that snapshot.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are not safe for concurrent use.
package watch

import "strings"

// Update sets or deletes the value of a key at a revision.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Key      string
	Value    []byte // must not be modified
	Deleted  bool   // the key is deleted; Value is empty
}

// Batch carries the updates that bring a view from one revision to another, or a part of a snapshot.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// From is the revision that the view must have. In a snapshot it is the number of updates in the snapshot's
	// earlier batches, by which a view detects a missing batch.
	From uint64
	// To is the revision of the view after the batch: all updates of interest up to it have been sent. All batches
	// of a snapshot have the revision of the snapshot.
	To uint64
	// Snapshot marks a batch of a full copy. The copy replaces the content of the view in one step, when the batch
	// with Last arrives.
	Snapshot bool
	First    bool // first batch of a snapshot
	Last     bool // last batch of a snapshot
	// Updates ascend by revision; in a snapshot they ascend by key.
	Updates []Update
}

// UpdateOverhead is added to the size of the key and value of each update wherever this package limits bytes. It is
// at least the number of bytes that the encoding adds.
const UpdateOverhead = 24

// size returns the size of an update as counted against the limits in bytes.
func (u *Update) size() int { return len(u.Key) + len(u.Value) + UpdateOverhead }

// Interest selects the keys that a reader receives. The owner of the reader creates it. It must be short,
// because it is scanned on each read.
type Interest struct {
	_        struct{} `cbor:",toarray"`
	Keys     []string // exact keys
	Prefixes []string
}

// includes reports whether the interest includes a key.
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
