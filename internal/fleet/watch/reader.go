package watch

// Reader is the position of one watcher in a History. Apart from its interest it holds two revisions and, during a
// snapshot, one reference per key that remains to be sent.
type Reader struct {
	history      *History
	interest     Interest
	position     uint64    // all updates up to this revision were examined
	sentRevision uint64    // end of the last batch, which is the revision of the view
	snapshot     *snapshot // nil = no snapshot is being sent
}

// snapshot is the state of a snapshot that is being sent, taken at the reader's position.
type snapshot struct {
	remaining []*Update
	sentCount uint64 // number of updates
}

// Next returns the next batch; false = there is nothing to send now. A reader that is ahead of the history receives
// nothing until the history has passed it. Updates outside the interest are skipped without a batch. But before the
// history drops the updates after the last batch, an empty batch tells the view its progress, so that the view need
// not take a snapshot when it reconnects.
//
// A batch has at most maxBytes of updates, with two exceptions. A single update that is larger is sent alone. The
// updates between two calls of Advance are not divided: if they exceed maxBytes by up to half they are sent alone,
// and if they are larger a snapshot is sent instead.
//
// Next takes O(1) at the head of the history. Otherwise it takes O(log n) for n recent updates, plus O(log n) for
// each update that is sent or that has the same prefix up to the first slash as the interest; other updates cost
// nothing. For an interest in a prefix without a slash every update is examined once. The first call for a snapshot
// of k keys takes O(k log k).
func (r *Reader) Next(maxBytes int) (Batch, bool) {
	switch {
	case r.snapshot != nil:
		return r.nextSnapshotBatch(maxBytes), true
	case r.position >= r.history.revision:
		return Batch{}, false
	case r.position < r.history.compacted:
		return r.beginSnapshot(maxBytes)
	}
	return r.nextUpdates(maxBytes)
}

// Snapshotting reports whether the reader is sending a snapshot or needs one. Next may begin a snapshot even if
// this was false.
func (r *Reader) Snapshotting() bool {
	return r.snapshot != nil || r.position < r.history.compacted
}

// Position returns the revision up to which the reader has sent everything; during a snapshot it is the revision of
// the snapshot.
func (r *Reader) Position() uint64 { return r.position }

// nextUpdates returns a batch of the updates after the position.
func (r *Reader) nextUpdates(maxBytes int) (Batch, bool) {
	recent := &r.history.recent
	batch := Batch{From: r.sentRevision}
	size := 0
	var current *changeSet
	setBegin := 0 // index in the batch at which the current change set begins
	from, end := recent.numberRange(r.position, r.history.revision)
	for u, number, ok := recent.nextWanted(&r.interest, from, end); ok; u, number, ok = recent.nextWanted(&r.interest, number+1, end) {
		if u.changeSet != current {
			if current != nil {
				batch.To = current.advancedTo
			}
			current, setBegin = u.changeSet, len(batch.Updates)
		}
		size += u.size()
		if size > maxBytes && setBegin > 0 {
			batch.Updates = batch.Updates[:setBegin]
			return r.markSent(batch), true
		}
		batch.Updates = append(batch.Updates, *u.Update)
		if size > maxBytes+maxBytes/2 && len(batch.Updates) > 1 {
			return r.beginSnapshot(maxBytes)
		}
	}
	batch.To = r.history.revision
	if len(batch.Updates) == 0 && !recent.nearCompaction(r.sentRevision) {
		r.position = batch.To
		return Batch{}, false
	}
	return r.markSent(batch), true
}

// markSent moves the reader to the end of a batch.
func (r *Reader) markSent(batch Batch) Batch {
	r.position, r.sentRevision = batch.To, batch.To
	return batch
}

// beginSnapshot takes a snapshot if the newest values are consistent, and returns its first batch.
func (r *Reader) beginSnapshot(maxBytes int) (Batch, bool) {
	if !r.history.consistent() {
		return Batch{}, false
	}
	r.position = r.history.revision
	r.snapshot = &snapshot{remaining: r.history.newest.matching(&r.interest)}
	return r.nextSnapshotBatch(maxBytes), true
}

// nextSnapshotBatch returns the next batch of the snapshot.
func (r *Reader) nextSnapshotBatch(maxBytes int) Batch {
	s := r.snapshot
	n, size := 0, 0
	for n < len(s.remaining) {
		size += s.remaining[n].size()
		if size > maxBytes && n > 0 {
			break
		}
		n++
	}
	batch := Batch{From: s.sentCount, To: r.position, Snapshot: true, First: s.sentCount == 0, Last: n == len(s.remaining)}
	batch.Updates = make([]Update, 0, n)
	for _, u := range s.remaining[:n] {
		batch.Updates = append(batch.Updates, *u)
	}
	s.remaining = s.remaining[n:]
	s.sentCount += uint64(n)
	if batch.Last {
		r.snapshot = nil
		r.sentRevision = batch.To
	}
	return batch
}
