package watch

// Reader is the position of one watcher in a History.
type Reader struct {
	history  *History
	interest Interest
	position uint64
}

// Next gives the next batch, of at most so many bytes but for an update that is larger by itself; false = nothing for now.
func (r *Reader) Next(maxBytes int) (Batch, bool) { return Batch{}, false }

// Snapshotting tells that the reader is in a snapshot, or needs one.
func (r *Reader) Snapshotting() bool { return r.position < r.history.compacted }

// Position is the revision up to which the reader has everything.
func (r *Reader) Position() uint64 { return r.position }
