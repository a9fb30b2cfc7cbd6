package admin

import (
	"sync"

	"larchscale/internal/core"
)

// Who may hold a box: its health says no as long as one of them does.
const (
	ByOperator = 1 << iota // a call at the door
	ByFleet                // a grant that the boxes have agreed on
)

// Holder keeps who holds the box and tells the core, from a goroutine of its own, the newest state first: nobody who
// calls it ever waits.
type Holder struct {
	mu    sync.Mutex
	by    int
	moved chan struct{} // it changed since it was last told
	stop  chan struct{}
}

// NewHolder makes a holder that tells tell.
func NewHolder(tell func(core.Event)) *Holder {
	h := &Holder{moved: make(chan struct{}, 1), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-h.moved:
				tell(core.Hold{On: h.Held()})
			case <-h.stop:
				return
			}
		}
	}()
	return h
}

// Held tells that somebody holds the box.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.by != 0
}

// Hold has one of them hold the box, or not any longer; true = that was a change.
func (h *Holder) Hold(who int, on bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	was := h.by
	if h.by |= who; !on {
		h.by &^= who
	}
	if h.by == was {
		return false
	}
	select {
	case h.moved <- struct{}{}:
	default:
	}
	return true
}

// Close ends the holder's goroutine.
func (h *Holder) Close() { close(h.stop) }
