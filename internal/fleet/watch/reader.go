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
// Next costs O(1) at the head of the history, and otherwise O(log n) for n recent updates and a comparison with the
// interest for each update behind it: a reader looks once at each update. The first call of a snapshot costs O(k log k) for
// its k keys.
func (r *Reader) Next(maxBytes int) (Batch, bool) {
	switch {
	case r.snapshot != nil:
		return r.snapshotBatch(maxBytes), true
	case r.position >= r.history.revision || r.history.loading:
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
	batch := Batch{From: r.sent, To: r.position}
	size := 0
	for rest := r.history.recent.between(r.position, r.history.revision); len(rest) > 0; {
		var step []recentUpdate
		step, rest = cutStep(rest)
		before := len(batch.Updates)
		batch.Updates, size = r.appendWanted(batch.Updates, size, step)
		if size > maxBytes && before > 0 {
			batch.Updates = batch.Updates[:before]
			return r.send(batch), true
		}
		if size > maxBytes+maxBytes/2 && len(batch.Updates) > 1 {
			return r.beginSnapshot(maxBytes)
		}
		batch.To = step[len(step)-1].advanced
	}
	batch.To = r.history.revision
	if len(batch.Updates) == 0 && !r.history.recent.halfGone(r.sent) {
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

// cutStep divides updates behind the first that History.Advance was called after.
func cutStep(updates []recentUpdate) (step, rest []recentUpdate) {
	for i := range updates {
		if updates[i].advanced != 0 {
			return updates[:i+1], updates[i+1:]
		}
	}
	return updates, nil
}

// appendWanted appends the updates of a step that the reader is interested in to those of a batch of a size.
func (r *Reader) appendWanted(updates []Update, size int, step []recentUpdate) ([]Update, int) {
	for i := range step {
		if r.interest.includes(step[i].Key) {
			updates = append(updates, *step[i].Update)
			size += step[i].size()
		}
	}
	return updates, size
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
