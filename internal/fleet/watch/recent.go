package watch

import (
	"slices"
	"sort"
	"strings"
)

// step is what was given between two calls of History.Advance.
type step struct {
	advanced uint64 // the revision of the second call; 0 = it has not come
}

// recentUpdate is an update in the order in which it came.
type recentUpdate struct {
	*Update
	step   *step
	before uint64 // sum of the sizes of all updates that ever came before it
}

// recentUpdates keeps the newest updates within limits, in ascending order of revisions. Updates are numbered in the order
// in which they came; an index gives the numbers by key and by group, which is a key up to its first slash.
type recentUpdates struct {
	limits  Limits
	updates []recentUpdate
	first   uint64              // number of the first that is kept
	byKey   map[string][]uint64 // numbers ascend
	byGroup map[string][]uint64
	open    *step  // of updates that were not advanced to; nil = there are none
	bytes   int    // sum of their sizes
	total   uint64 // sum of the sizes of all that ever came
}

func newRecentUpdates(limits Limits) recentUpdates {
	return recentUpdates{limits: limits, byKey: map[string][]uint64{}, byGroup: map[string][]uint64{}}
}

// group gives a key or a prefix up to its first slash; "" = it has none.
func group(key string) string { return key[:strings.IndexByte(key, '/')+1] }

// add appends an update and drops the oldest past the limits. It gives the revision of the newest that was dropped; 0 = none
// was. Others of that revision may be left, but nobody is served from before it.
func (r *recentUpdates) add(u *Update) (dropped uint64) {
	if r.open == nil {
		r.open = &step{}
	}
	number := r.first + uint64(len(r.updates))
	r.byKey[u.Key] = append(r.byKey[u.Key], number)
	r.byGroup[group(u.Key)] = append(r.byGroup[group(u.Key)], number)
	r.updates = append(r.updates, recentUpdate{Update: u, step: r.open, before: r.total})
	r.bytes += u.size()
	r.total += uint64(u.size())
	for r.overLimits() {
		dropped = r.updates[0].Revision
		r.dropFirst()
	}
	return dropped
}

func (r *recentUpdates) overLimits() bool {
	if len(r.updates) == 0 {
		return false
	}
	return len(r.updates) > r.limits.Updates || r.bytes > r.limits.Bytes
}

func (r *recentUpdates) dropFirst() {
	u := r.updates[0]
	dropNumber(r.byKey, u.Key)
	dropNumber(r.byGroup, group(u.Key))
	r.bytes -= u.size()
	r.updates[0] = recentUpdate{} // the array lives on for a while
	r.updates = r.updates[1:]
	r.first++
}

// dropNumber takes the first number of a name out of an index.
func dropNumber(index map[string][]uint64, name string) {
	if len(index[name]) == 1 {
		delete(index, name)
		return
	}
	index[name] = index[name][1:]
}

// reset drops all.
func (r *recentUpdates) reset() { *r = newRecentUpdates(r.limits) }

// advance tells that all updates up to a revision are here.
func (r *recentUpdates) advance(revision uint64) {
	if r.open != nil {
		r.open.advanced = revision
		r.open = nil
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

// numbers gives the first number of the updates after a revision, and the one behind those up to another.
func (r *recentUpdates) numbers(after, upTo uint64) (begin, end uint64) {
	return r.first + uint64(r.search(after)), r.first + uint64(r.search(upTo))
}

// wanted gives the first update of an interest that has a number from one on and below another, and its number.
func (r *recentUpdates) wanted(interest *Interest, from, end uint64) (u *recentUpdate, number uint64, ok bool) {
	for number = from; number < end; number++ {
		number = r.candidate(interest, number, end)
		if number >= end {
			break
		}
		if u = &r.updates[number-r.first]; interest.includes(u.Key) {
			return u, number, true
		}
	}
	return nil, end, false
}

// candidate gives the lowest number, from one on, that the index has for the keys and groups of an interest; the end if it
// has none. A prefix without a slash has no group: any update may be of interest.
func (r *recentUpdates) candidate(interest *Interest, from, end uint64) uint64 {
	lowest := end
	for _, key := range interest.Keys {
		lowest = min(lowest, firstFrom(r.byKey[key], from, end))
	}
	for _, prefix := range interest.Prefixes {
		name := group(prefix)
		if name == "" {
			return from
		}
		lowest = min(lowest, firstFrom(r.byGroup[name], from, end))
	}
	return lowest
}

// firstFrom gives the lowest of ascending numbers from one on; the end if there is none.
func firstFrom(numbers []uint64, from, end uint64) uint64 {
	i, _ := slices.BinarySearch(numbers, from)
	if i == len(numbers) {
		return end
	}
	return numbers[i]
}
