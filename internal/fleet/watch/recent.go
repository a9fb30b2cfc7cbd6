package watch

import "sort"

// recentUpdate is an update in the order in which it came.
type recentUpdate struct {
	*Update
	before uint64 // sum of the sizes of all updates that ever came before it
	// advanced is set on the last update before a call of History.Advance: the revision it was called with.
	advanced uint64
}

// recentUpdates keeps the newest updates within limits, in ascending order of revisions.
type recentUpdates struct {
	limits  Limits
	updates []recentUpdate
	bytes   int    // sum of their sizes
	total   uint64 // sum of the sizes of all that ever came
}

// add appends an update and drops the oldest past the limits, all of a revision together. It gives the revision of the
// newest that was dropped; 0 = none was.
func (r *recentUpdates) add(u *Update) (dropped uint64) {
	r.updates = append(r.updates, recentUpdate{Update: u, before: r.total})
	r.bytes += u.size()
	r.total += uint64(u.size())
	n := 0
	for n < len(r.updates) && (r.over(n) || r.updates[n].Revision == dropped) {
		dropped = r.updates[n].Revision
		r.bytes -= r.updates[n].size()
		n++
	}
	clear(r.updates[:n]) // the array lives on for a while
	r.updates = r.updates[n:]
	return dropped
}

// over tells that the updates are past the limits with the first n dropped.
func (r *recentUpdates) over(n int) bool {
	return len(r.updates)-n > r.limits.Updates || r.bytes > r.limits.Bytes
}

// reset drops all.
func (r *recentUpdates) reset() { r.updates, r.bytes = nil, 0 }

// advance tells that all updates up to a revision are here.
func (r *recentUpdates) advance(revision uint64) {
	if len(r.updates) == 0 {
		return
	}
	if last := &r.updates[len(r.updates)-1]; last.advanced == 0 {
		last.advanced = revision
	}
}

// halfGone tells that the updates after a revision take more than half of the limits: whoever stands there will soon be
// before all that is kept.
func (r *recentUpdates) halfGone(after uint64) bool {
	begin := r.search(after)
	if begin == len(r.updates) {
		return false
	}
	size := r.total - r.updates[begin].before
	return len(r.updates)-begin > r.limits.Updates/2 || size > uint64(r.limits.Bytes/2)
}

// search gives the place of the first update after a revision.
func (r *recentUpdates) search(after uint64) int {
	return sort.Search(len(r.updates), func(i int) bool { return r.updates[i].Revision > after })
}

// between gives the updates after one revision up to another: a part of the array, not to be kept.
func (r *recentUpdates) between(after, upTo uint64) []recentUpdate {
	return r.updates[r.search(after):r.search(upTo)]
}
