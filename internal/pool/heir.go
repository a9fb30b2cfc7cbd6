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

// inHand is how many runs that have shown nothing of themselves an heir asks for at a time.
const inHand = 16

// ErrGap is a worker pool that no longer has all notices since the cursor: of a run that it does not tell of, nothing
// is known.
var ErrGap = errors.New("notices are missing")

// Left is a run that a lost process may have asked its worker pool for.
type Left struct {
	Handle, Class string
	Body          []byte
	Quiet         bool // another pool may have run it: it is listened for, and never asked for
}

// Came is what an heir heard of a run: its end, or a call that it waits for.
type Came struct {
	Handle string
	Call   bool // it came to wait, just now, for the reply to a call with Body, to be given by Reply
	OK     bool // it ended well, with Body for its result
	Body   []byte
}

// Heir is bound to the worker pool of a lost process in its place: what that process had open is closed by it. It
// reads how runs ended, and asks again for those that have shown nothing. A pool runs a handle once, however often it
// is asked, so each ran once in the end, whether the lost process had asked for it or not.
type Heir struct {
	outbound *sock.WriteQueue
	left     []Left // not asked for yet
	mu       sync.Mutex
	open     map[string]bool // asked for, and not ended
	done     map[string]bool // ended before they were asked for
}

// Inherit binds to the pool at addr, from the last notice that the lost process is known to have read, and tells of
// its runs until ctx ends, the link breaks or all have ended (nil). Told again on a later link it tells of the same
// ends again.
func Inherit(ctx context.Context, addr string, cursor uint64, left []Left, begun func(*Heir), told func(Came)) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	h := &Heir{outbound: sock.NewWriteQueue(conn), left: left, open: map[string]bool{}, done: map[string]bool{}}
	defer h.outbound.Kill()
	defer context.AfterFunc(ctx, h.outbound.Kill)()
	// A cursor of 0 is a process that has just started: its pool would forget what it has to tell.
	cursor = max(cursor, 1)
	h.outbound.Send([]byte(`{"event":"bind","cursor":` + strconv.FormatUint(cursor, 10) + "}\n"))
	h.outbound.Send([]byte(`{"event":"poll","ticket":"` + replayed + "\"}\n"))
	begun(h)
	mine := map[string]bool{}
	for _, l := range left {
		mine[l.Handle] = true
	}
	ended, caught := 0, false
	in := bufio.NewReaderSize(conn, maxLine)
	for ended < len(left) {
		line, err := sock.Line(in)
		if err != nil {
			return err
		}
		n, err := parse(line)
		if err != nil {
			return err
		}
		if n.cursor > 0 {
			if n.cursor > cursor+1 {
				return fmt.Errorf("after notice %d came %d: %w", cursor, n.cursor, ErrGap)
			}
			cursor = max(cursor, n.cursor)
		}
		switch {
		case n.event == "polled" && n.ticket == replayed: // all that was missed is read
			caught = true
			h.ask()
		case !mine[n.handle]:
		case n.event == "blocked" && caught: // the lost process may have made one of before, and had its reply
			told(Came{Handle: n.handle, Call: true, Body: n.body})
		case n.event == "finished":
			delete(mine, n.handle)
			ended++
			told(Came{Handle: n.handle, OK: n.fate == "complete", Body: n.body})
			h.end(n.handle)
		}
	}
	return nil
}

// replayed is the ticket of the poll whose answer follows all notices that were missed.
const replayed = "heir"

// end notes that a run is over, and asks for the next.
func (h *Heir) end(handle string) {
	h.mu.Lock()
	was := h.open[handle]
	delete(h.open, handle)
	h.done[handle] = true
	h.mu.Unlock()
	if was {
		h.ask()
	}
}

// ask has runs begin that have shown nothing, as many as may be in hand.
func (h *Heir) ask() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.left) > 0 && len(h.open) < inHand {
		l := h.left[0]
		if h.left = h.left[1:]; !l.Quiet && !h.done[l.Handle] {
			h.open[l.Handle] = true
			h.outbound.Send(spawn(l.Handle, l.Class, l.Body)...)
		}
	}
}

// Reply gives a run the reply that it waits for. It is safe from any goroutine.
func (h *Heir) Reply(handle string, body []byte) { h.outbound.Send(supply(handle, body)...) }
