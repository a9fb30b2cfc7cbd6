package control

import "sort"

// requestList is a list of requests in the order of a less function, which must be a strict total order
// that does not change while a request is in the list.
type requestList struct {
	list []*request
	less func(a, b *request) bool
}

// position returns the index of r, or the index at which it would be inserted.
func (l *requestList) position(r *request) int {
	return sort.Search(len(l.list), func(i int) bool { return !l.less(l.list[i], r) })
}

// add inserts r at its position.
func (l *requestList) add(r *request) {
	i := l.position(r)
	l.list = append(l.list, nil)
	copy(l.list[i+1:], l.list[i:])
	l.list[i] = r
}

// remove removes r, if it is in the list.
func (l *requestList) remove(r *request) {
	i := l.position(r)
	if i == len(l.list) || l.list[i] != r {
		return
	}
	copy(l.list[i:], l.list[i+1:])
	l.list[len(l.list)-1] = nil
	l.list = l.list[:len(l.list)-1]
}
