package watch

import (
	"slices"
	"sort"
	"strings"
)

// changeSet identifies the updates between two calls of History.Advance.
type changeSet struct {
	advancedTo uint64 // revision of the second call; 0 = not called yet
}

// recentUpdate is an update in the order of arrival.
type recentUpdate struct {
	*Update
	changeSet   *changeSet
	bytesBefore uint64 // total size of all earlier updates, including dropped ones
}

// recentUpdates keeps the newest updates within limits, in ascending order of revisions. Updates are numbered in
// the order of arrival. An index holds their numbers by key and by group, which is the part of a key up to its
// first slash.
type recentUpdates struct {
	limits      Limits
	updates     []recentUpdate
	firstNumber uint64              // number of the oldest update that is kept
	byKey       map[string][]uint64 // numbers ascend
	byGroup     map[string][]uint64
	openSet     *changeSet // updates since the last Advance; nil = none
	bytes       int        // total size of the kept updates
	totalBytes  uint64     // total size of all updates ever added
}

func newRecentUpdates(limits Limits) recentUpdates {
	return recentUpdates{limits: limits, byKey: map[string][]uint64{}, byGroup: map[string][]uint64{}}
}

// keyGroup returns the part of a key or prefix up to its first slash; "" = it has no slash.
func keyGroup(key string) string { return key[:strings.IndexByte(key, '/')+1] }

// add appends an update and drops the oldest updates beyond the limits. It returns the revision of the newest
// dropped update; 0 = none was dropped. Other updates of that revision may remain, but they are not sent to readers
// before it.
func (r *recentUpdates) add(u *Update) (dropped uint64) {
	if r.openSet == nil {
		r.openSet = &changeSet{}
	}
	number := r.firstNumber + uint64(len(r.updates))
	r.byKey[u.Key] = append(r.byKey[u.Key], number)
	r.byGroup[keyGroup(u.Key)] = append(r.byGroup[keyGroup(u.Key)], number)
	r.updates = append(r.updates, recentUpdate{Update: u, changeSet: r.openSet, bytesBefore: r.totalBytes})
	r.bytes += u.size()
	r.totalBytes += uint64(u.size())
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
	dropNumber(r.byGroup, keyGroup(u.Key))
	r.bytes -= u.size()
	r.updates[0] = recentUpdate{} // lets the value be freed while the array is still in use
	r.updates = r.updates[1:]
	r.firstNumber++
}

// dropNumber removes the first number of a key or group from an index.
func dropNumber(index map[string][]uint64, name string) {
	if len(index[name]) == 1 {
		delete(index, name)
		return
	}
	index[name] = index[name][1:]
}

// reset drops all updates.
func (r *recentUpdates) reset() { *r = newRecentUpdates(r.limits) }

// closeSet ends the current change set at a revision.
func (r *recentUpdates) closeSet(revision uint64) {
	if r.openSet != nil {
		r.openSet.advancedTo = revision
		r.openSet = nil
	}
}

// nearCompaction reports whether the updates after a revision use more than half of the limits, so that a reader at
// that revision will soon need a snapshot.
func (r *recentUpdates) nearCompaction(after uint64) bool {
	begin := r.search(after)
	if begin == len(r.updates) {
		return false
	}
	size := r.totalBytes - r.updates[begin].bytesBefore
	return len(r.updates)-begin > r.limits.Updates/2 || size > uint64(r.limits.Bytes/2)
}

// search returns the index of the first update after a revision.
func (r *recentUpdates) search(after uint64) int {
	return sort.Search(len(r.updates), func(i int) bool { return r.updates[i].Revision > after })
}

// numberRange returns the range [begin, end) of the numbers of the updates after one revision and up to another.
func (r *recentUpdates) numberRange(after, upTo uint64) (begin, end uint64) {
	return r.firstNumber + uint64(r.search(after)), r.firstNumber + uint64(r.search(upTo))
}

// nextWanted returns the first update of interest whose number is in [from, end), and its number.
func (r *recentUpdates) nextWanted(interest *Interest, from, end uint64) (u *recentUpdate, number uint64, ok bool) {
	for number = from; number < end; number++ {
		number = r.nextCandidate(interest, number, end)
		if number >= end {
			break
		}
		if u = &r.updates[number-r.firstNumber]; interest.includes(u.Key) {
			return u, number, true
		}
	}
	return nil, end, false
}

// nextCandidate returns the lowest number in [from, end) that the index has for the keys and groups of an interest,
// or end if there is none. A prefix without a slash has no group, so any update may be of interest.
func (r *recentUpdates) nextCandidate(interest *Interest, from, end uint64) uint64 {
	lowest := end
	for _, key := range interest.Keys {
		lowest = min(lowest, firstAtLeast(r.byKey[key], from, end))
	}
	for _, prefix := range interest.Prefixes {
		name := keyGroup(prefix)
		if name == "" {
			return from
		}
		lowest = min(lowest, firstAtLeast(r.byGroup[name], from, end))
	}
	return lowest
}

// firstAtLeast returns the lowest of the ascending numbers that is at least from, or end if there is none.
func firstAtLeast(numbers []uint64, from, end uint64) uint64 {
	i, _ := slices.BinarySearch(numbers, from)
	if i == len(numbers) {
		return end
	}
	return numbers[i]
}
