package core

import (
	"container/heap"
	"time"
)

// timer is one entry of the heap that holds all timers of a server.
type timer struct {
	at           time.Duration
	heapPosition int // 1-based index in the heap; 0 = not in it
	callback     func()
}

// timers is a min-heap ordered by time.
type timers struct{ list []*timer }

func (h *timers) Len() int           { return len(h.list) }
func (h *timers) Less(i, j int) bool { return h.list[i].at < h.list[j].at }
func (h *timers) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].heapPosition, h.list[j].heapPosition = i+1, j+1
}
func (h *timers) Push(x any) {
	t := x.(*timer)
	h.list = append(h.list, t)
	t.heapPosition = len(h.list)
}
func (h *timers) Pop() any {
	t := h.list[len(h.list)-1]
	h.list[len(h.list)-1] = nil
	h.list = h.list[:len(h.list)-1]
	t.heapPosition = 0
	return t
}

// set adds t or moves it to another time.
func (h *timers) set(t *timer, at time.Duration) {
	t.at = at
	if t.heapPosition == 0 {
		heap.Push(h, t)
	} else {
		heap.Fix(h, t.heapPosition-1)
	}
}

// remove removes t if it is in the heap.
func (h *timers) remove(t *timer) {
	if t.heapPosition > 0 {
		heap.Remove(h, t.heapPosition-1)
	}
}

// fire runs all timers that are due by now.
func (h *timers) fire(now time.Duration) {
	for len(h.list) > 0 && h.list[0].at <= now {
		heap.Pop(h).(*timer).callback()
	}
}
