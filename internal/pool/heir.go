package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"larchscale/internal/sock"
)

// maxPendingSpawns bounds the runs that a successor has requested again and that have not finished.
const maxPendingSpawns = 16

// ErrGap reports that the worker pool no longer has every notice since the cursor, so that nothing is known about a run
// without a notice.
var ErrGap = errors.New("notices are missing")

// UnfinishedRun is a run that a failed process may have requested from its worker pool.
type UnfinishedRun struct {
	Handle, Class string
	Body          []byte
	ListenOnly    bool // another pool may have run it: its end is reported, but it is not requested again
}

// RunEvent is an event of a run that a successor has taken over: its end, or a call whose reply it waits for.
type RunEvent struct {
	Handle string
	IsCall bool   // the run waits for the reply to a call, to be sent by Reply
	OK     bool   // the run completed
	Body   []byte // of the call, or the result of a completed run
}

// SuccessorLink is a successor's connection to the worker pool of a failed process, on which it finishes that process's open
// runs. It reads how runs ended and requests those of which there is no notice: the failed process may not have requested
// them. A pool leaves a request for a handle alone only while that handle runs: one that ends while its request is on its
// way is run a second time.
type SuccessorLink struct {
	outbound  *sock.WriteQueue
	left      []UnfinishedRun // not requested yet
	mu        sync.Mutex
	requested map[string]bool // requested and not finished
	began     map[string]bool // the pool has told of them: they are not requested again
}

// TakeOver binds to the pool at addr, from the last notice that the failed process is known to have read. It passes the
// connection to bound and the events of the runs in left to onEvent, until all of them have finished (nil), ctx ends or
// the connection breaks. Called again after a break it reports the same ends again.
func TakeOver(ctx context.Context, addr string, cursor uint64, left []UnfinishedRun, bound func(*SuccessorLink), onEvent func(RunEvent)) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	h := &SuccessorLink{outbound: sock.NewWriteQueue(conn), left: left, requested: map[string]bool{}, began: map[string]bool{}}
	defer h.outbound.Kill()
	defer context.AfterFunc(ctx, h.outbound.Kill)()
	// A cursor of 0 announces a process that has just started, for which the pool would discard its notices.
	cursor = max(cursor, 1)
	h.outbound.Send([]byte(`{"event":"bind","cursor":` + strconv.FormatUint(cursor, 10) + "}\n"))
	h.outbound.Send([]byte(`{"event":"poll","ticket":"` + catchUpTicket + "\"}\n"))
	bound(h)
	pending := map[string]bool{}
	for _, l := range left {
		pending[l.Handle] = true
	}
	finished, caughtUp := 0, false
	in := bufio.NewReaderSize(conn, maxLine)
	for finished < len(left) {
		line, err := sock.ReadLine(in)
		if err != nil {
			return err
		}
		n, err := parse(line)
		if err != nil {
			return err
		}
		if n.cursor > 0 {
			if n.cursor > cursor+1 {
				return fmt.Errorf("notice %d is followed by notice %d: %w", cursor, n.cursor, ErrGap)
			}
			cursor = max(cursor, n.cursor)
		}
		if n.event == "blocked" || n.event == "finished" {
			h.markBegan(n.handle)
		}
		switch {
		case n.event == "polled" && n.ticket == catchUpTicket: // all missed notices have been read
			caughtUp = true
			h.spawnNext()
		case !pending[n.handle]:
		case n.event == "blocked" && caughtUp: // the failed process may already have answered an earlier call
			onEvent(RunEvent{Handle: n.handle, IsCall: true, Body: n.body})
		case n.event == "finished":
			delete(pending, n.handle)
			finished++
			onEvent(RunEvent{Handle: n.handle, OK: n.fate == "complete", Body: n.body})
			h.finish(n.handle)
		}
	}
	return nil
}

// catchUpTicket is the ticket of the poll whose answer follows all missed notices.
const catchUpTicket = "heir"

// markBegan records that a run has begun.
func (h *SuccessorLink) markBegan(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began[handle] = true
}

// finish records that a run has finished and requests the next.
func (h *SuccessorLink) finish(handle string) {
	h.mu.Lock()
	wasRequested := h.requested[handle]
	delete(h.requested, handle)
	h.mu.Unlock()
	if wasRequested {
		h.spawnNext()
	}
}

// spawnNext requests the runs of which the pool has told nothing and that have not been requested, up to
// maxPendingSpawns at a time.
func (h *SuccessorLink) spawnNext() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.left) > 0 && len(h.requested) < maxPendingSpawns {
		l := h.left[0]
		if h.left = h.left[1:]; !l.ListenOnly && !h.began[l.Handle] {
			h.requested[l.Handle] = true
			h.outbound.Send(spawn(l.Handle, l.Class, l.Body)...)
		}
	}
}

// Reply sends a run the reply it waits for. It is safe for concurrent use.
func (h *SuccessorLink) Reply(handle string, body []byte) { h.outbound.Send(supply(handle, body)...) }
