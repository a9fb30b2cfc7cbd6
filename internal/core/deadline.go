package core

import (
	"container/heap"
	"time"
)

// deadline is one entry of the sorted structure that holds all deadlines of a server.
type deadline struct {
	at  time.Duration
	pos int // place in the heap plus one; 0 = not in it
	do  func()
}

// deadlines is a heap, the earliest first.
type deadlines struct{ list []*deadline }

func (d *deadlines) Len() int           { return len(d.list) }
func (d *deadlines) Less(i, j int) bool { return d.list[i].at < d.list[j].at }
func (d *deadlines) Swap(i, j int) {
	d.list[i], d.list[j] = d.list[j], d.list[i]
	d.list[i].pos, d.list[j].pos = i+1, j+1
}
func (d *deadlines) Push(x any) {
	t := x.(*deadline)
	d.list = append(d.list, t)
	t.pos = len(d.list)
}
func (d *deadlines) Pop() any {
	t := d.list[len(d.list)-1]
	d.list[len(d.list)-1] = nil
	d.list = d.list[:len(d.list)-1]
	t.pos = 0
	return t
}

// set adds t or moves it to another time.
func (d *deadlines) set(t *deadline, at time.Duration) {
	t.at = at
	if t.pos == 0 {
		heap.Push(d, t)
	} else {
		heap.Fix(d, t.pos-1)
	}
}

// drop takes t out, if it is in.
func (d *deadlines) drop(t *deadline) {
	if t.pos > 0 {
		heap.Remove(d, t.pos-1)
	}
}

// sweep does all that is due by now.
func (d *deadlines) sweep(now time.Duration) {
	for len(d.list) > 0 && d.list[0].at <= now {
		heap.Pop(d).(*deadline).do()
	}
}
