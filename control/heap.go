package control

import "time"

// heapEntry is an entry of a heap: an id and its time.
type heapEntry struct {
	at time.Duration
	id uint32
}

// heap is an indexed binary heap of ids by time, the earliest first and equal times by id.
type heap struct {
	list  []heapEntry
	index map[uint32]int // position in list of each id
}

func newHeap() *heap { return &heap{index: map[uint32]int{}} }

func (h *heap) len() int { return len(h.list) }

// first returns the earliest entry of a heap that is not empty.
func (h *heap) first() heapEntry { return h.list[0] }

// countBefore returns the number of entries with a time before at.
func (h *heap) countBefore(at time.Duration) int {
	n := 0
	for _, entry := range h.list {
		if entry.at < at {
			n++
		}
	}
	return n
}

// expire removes the entries whose time is now or earlier, and returns their number.
func (h *heap) expire(now time.Duration) int {
	n := 0
	for ; len(h.list) > 0 && h.list[0].at <= now; n++ {
		h.remove(h.list[0].id)
	}
	return n
}

// set adds id, or changes its time.
func (h *heap) set(id uint32, at time.Duration) {
	i, ok := h.index[id]
	if !ok {
		i = len(h.list)
		h.list = append(h.list, heapEntry{at, id})
		h.index[id] = i
	}
	h.list[i].at = at
	h.down(h.up(i))
}

// remove removes id, if it is in the heap.
func (h *heap) remove(id uint32) {
	i, ok := h.index[id]
	if !ok {
		return
	}
	last := len(h.list) - 1
	h.swap(i, last)
	h.list = h.list[:last]
	delete(h.index, id)
	if i < last {
		h.down(h.up(i))
	}
}

func (h *heap) less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.id < b.id
}

func (h *heap) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.index[h.list[i].id] = i
	h.index[h.list[j].id] = j
}

// up moves the entry at i up to its position, and returns that position.
func (h *heap) up(i int) int {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i
}

// down moves the entry at i down to its position.
func (h *heap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.list) {
			return
		}
		if child+1 < len(h.list) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
