package control

import "time"

// timed is an entry of a heap: an id and the time at which it comes up.
type timed struct {
	at time.Duration
	id uint32
}

// heap is an indexed heap of ids by time, the earliest first and equal times by id.
type heap struct {
	list []timed
	pos  map[uint32]int
}

func newHeap() *heap { return &heap{pos: map[uint32]int{}} }

func (h *heap) len() int { return len(h.list) }

func (h *heap) first() timed { return h.list[0] }

// before is how many come up before a time.
func (h *heap) before(at time.Duration) int {
	n := 0
	for _, x := range h.list {
		if x.at < at {
			n++
		}
	}
	return n
}

// expire drops all that have come up by now, and tells how many.
func (h *heap) expire(now time.Duration) int {
	n := 0
	for ; len(h.list) > 0 && h.list[0].at <= now; n++ {
		h.drop(h.list[0].id)
	}
	return n
}

// set adds id or moves it to another time.
func (h *heap) set(id uint32, at time.Duration) {
	i, ok := h.pos[id]
	if !ok {
		i = len(h.list)
		h.list = append(h.list, timed{at, id})
		h.pos[id] = i
	}
	h.list[i].at = at
	h.down(h.up(i))
}

// drop removes id, if it is there.
func (h *heap) drop(id uint32) {
	i, ok := h.pos[id]
	if !ok {
		return
	}
	last := len(h.list) - 1
	h.swap(i, last)
	h.list = h.list[:last]
	delete(h.pos, id)
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
	h.pos[h.list[i].id] = i
	h.pos[h.list[j].id] = j
}

func (h *heap) up(i int) int {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(i, p) {
			break
		}
		h.swap(i, p)
		i = p
	}
	return i
}

func (h *heap) down(i int) {
	for {
		k := 2*i + 1
		if k >= len(h.list) {
			return
		}
		if k+1 < len(h.list) && h.less(k+1, k) {
			k++
		}
		if !h.less(k, i) {
			return
		}
		h.swap(i, k)
		i = k
	}
}
