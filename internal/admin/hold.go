package admin

import (
	"sync"

	"larchscale/internal/core"
)

// Those who may hold the health of the server down: it fails as long as one of them does.
const (
	ByOperator = 1 << iota // a request to the admin endpoint
	ByFleet                // a maintenance grant that the fleet has agreed on
)

// HealthHolder records who holds the health down. It reports changes to the core from its own goroutine, so that its callers
// never block; of several changes in a row only the newest state may be reported.
type HealthHolder struct {
	mu      sync.Mutex
	holders int           // bits of those who hold it
	changed chan struct{} // signals a change since the last report
	stop    chan struct{}
}

// NewHealthHolder returns a holder that reports changes to report.
func NewHealthHolder(report func(core.Event)) *HealthHolder {
	h := &HealthHolder{changed: make(chan struct{}, 1), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-h.changed:
				report(core.OperatorDrain{On: h.Held()})
			case <-h.stop:
				return
			}
		}
	}()
	return h
}

// Held reports whether the health is held down by anyone.
func (h *HealthHolder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holders != 0
}

// Set has who hold the health down, or release it, and reports whether that is a change.
func (h *HealthHolder) Set(who int, on bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.holders
	if h.holders |= who; !on {
		h.holders &^= who
	}
	if h.holders == previous {
		return false
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
	return true
}

// Close stops reporting changes. It must be called only once.
func (h *HealthHolder) Close() { close(h.stop) }
