package watch

// Reader is the position of one watcher in a History. Beside its interest it holds two revisions and, while it is in a
// snapshot, one reference for each key that is still to be sent.
type Reader struct {
	history  *History
	interest Interest
	position uint64    // it has looked at all updates up to here
	sent     uint64    // where the last batch led to: the revision of the view
	snapshot *snapshot // nil = it is in none
}

// snapshot is what a reader has yet to send of the keys as of its position.
type snapshot struct {
	rest []*Update
	sent uint64 // updates
}

// Next gives the next batch; false = nothing for now. A reader that is ahead of the history gets nothing until the history
// has passed it. Updates that the reader is not interested in are passed over without a batch; but before the history drops
// what follows the last batch an empty one tells the view how far it is, lest it need a snapshot when it comes back.
//
// A batch has at most maxBytes of updates, with two exceptions. An update that is larger by itself comes alone. What was
// given between two calls of Advance is not divided: it comes alone, by half of maxBytes larger at most; where it is larger
// still, a snapshot takes its place.
//
// Next costs O(1) at the head of the history, and otherwise O(log n) for n recent updates, and again for each that is sent or
// has the same prefix up to a slash as one of interest: updates of other keys cost a reader nothing. An interest in a prefix
// without a slash has the reader look at all, each once. The first call of a snapshot costs O(k log k) for its k keys.
func (r *Reader) Next(maxBytes int) (Batch, bool) {
	switch {
	case r.snapshot != nil:
		return r.snapshotBatch(maxBytes), true
	case r.position >= r.history.revision:
		return Batch{}, false
	case r.position < r.history.compacted:
		return r.beginSnapshot(maxBytes)
	}
	return r.updatesBatch(maxBytes)
}

// Snapshotting tells that the reader is in a snapshot, or needs one. Next may also begin one when this was false.
func (r *Reader) Snapshotting() bool {
	return r.snapshot != nil || r.position < r.history.compacted
}

// Position is the revision up to which the reader has given everything; within a snapshot the one that it is as of.
func (r *Reader) Position() uint64 { return r.position }

// updatesBatch gives the updates after the position.
func (r *Reader) updatesBatch(maxBytes int) (Batch, bool) {
	recent := &r.history.recent
	batch := Batch{From: r.sent}
	size := 0
	var current *step
	stepBegin := 0 // of the current step, in the batch
	from, end := recent.numbers(r.position, r.history.revision)
	for u, number, ok := recent.wanted(&r.interest, from, end); ok; u, number, ok = recent.wanted(&r.interest, number+1, end) {
		if u.step != current {
			if current != nil {
				batch.To = current.advanced
			}
			current, stepBegin = u.step, len(batch.Updates)
		}
		size += u.size()
		if size > maxBytes && stepBegin > 0 {
			batch.Updates = batch.Updates[:stepBegin]
			return r.send(batch), true
		}
		batch.Updates = append(batch.Updates, *u.Update)
		if size > maxBytes+maxBytes/2 && len(batch.Updates) > 1 {
			return r.beginSnapshot(maxBytes)
		}
	}
	batch.To = r.history.revision
	if len(batch.Updates) == 0 && !recent.halfGone(r.sent) {
		r.position = batch.To
		return Batch{}, false
	}
	return r.send(batch), true
}

// send takes the reader to where a batch leads.
func (r *Reader) send(batch Batch) Batch {
	r.position, r.sent = batch.To, batch.To
	return batch
}

// beginSnapshot takes a snapshot, if the newest values are whole, and gives its first batch.
func (r *Reader) beginSnapshot(maxBytes int) (Batch, bool) {
	if !r.history.whole() {
		return Batch{}, false
	}
	r.position = r.history.revision
	r.snapshot = &snapshot{rest: r.history.newest.matching(&r.interest)}
	return r.snapshotBatch(maxBytes), true
}

// snapshotBatch gives the next batch of the snapshot.
func (r *Reader) snapshotBatch(maxBytes int) Batch {
	s := r.snapshot
	n, size := 0, 0
	for n < len(s.rest) {
		size += s.rest[n].size()
		if size > maxBytes && n > 0 {
			break
		}
		n++
	}
	batch := Batch{From: s.sent, To: r.position, Snapshot: true, First: s.sent == 0, Last: n == len(s.rest)}
	batch.Updates = make([]Update, 0, n)
	for _, u := range s.rest[:n] {
		batch.Updates = append(batch.Updates, *u)
	}
	s.rest = s.rest[n:]
	s.sent += uint64(n)
	if batch.Last {
		r.snapshot = nil
		r.sent = batch.To
	}
	return batch
}
