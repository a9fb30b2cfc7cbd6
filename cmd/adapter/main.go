// Command adapter hosts many larchscale controllers for the simulator. It reads batches of events from standard
// input and writes one reply to each batch to standard output. It makes no decisions of its own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"larchscale/control"
	"larchscale/internal/settings"
	"larchscale/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve replies to each batch from in, until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := host{workers: map[uint32]*worker{}}
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	for {
		err := h.batch.Read(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(h.handleBatch()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the simulated workers, and the batch that is handled with its reply.
type host struct {
	workers    map[uint32]*worker // by number
	batch      wire.Batch
	reply      wire.Reply
	active     []*worker // workers with an event in this batch, in order of their first event
	batchCount uint64
}

// worker is one simulated worker: it adds the actions of its controller to the reply.
type worker struct {
	host       *host
	number     uint32
	controller *control.Controller
	gauges     []string // names of the gauges that its events carry
	failed     bool     // its settings are invalid or its controller panicked; it gets no further events
	lastBatch  uint64   // number of the batch in which it last had an event
}

// handleBatch passes the events of the batch to their workers, lets these workers decide, and returns the reply.
func (h *host) handleBatch() []byte {
	h.reply.Reset()
	h.active = h.active[:0]
	h.batchCount++
	now := time.Duration(h.batch.NowUs) * time.Microsecond
	for i := range h.batch.Events {
		h.handleEvent(now, &h.batch.Events[i])
	}
	for _, w := range h.active {
		if h.workers[w.number] == w {
			w.guard(func() { w.controller.Decide(now) })
		}
	}
	return h.reply.Bytes()
}

// handleEvent creates or removes a worker, or passes the event to its worker.
func (h *host) handleEvent(now time.Duration, e *wire.Event) {
	switch e.Code {
	case wire.Kill:
		delete(h.workers, e.Who)
		return
	case wire.Born:
		w := &worker{host: h, number: e.Who}
		h.workers[e.Who] = w
		w.guard(func() { w.start(now, e) })
	}
	w := h.workers[e.Who]
	if w == nil || w.failed {
		return
	}
	if w.lastBatch != h.batchCount {
		w.lastBatch = h.batchCount
		h.active = append(h.active, w)
	}
	w.guard(func() { w.dispatch(now, e) })
}

// guard runs f and turns a panic of the controller into a failure of this worker alone.
func (w *worker) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			w.disable(fmt.Sprint(p))
		}
	}()
	if !w.failed {
		f()
	}
}

// disable reports the failure of the worker to the simulator and stops passing events to it.
func (w *worker) disable(text string) {
	w.failed = true
	w.host.reply.Text(wire.GiveIn, w.number, text)
}

// start creates the controller from the settings in e.
func (w *worker) start(now time.Duration, e *wire.Event) {
	s, err := wire.ParseSettings(e.Settings)
	if err != nil {
		w.disable(err.Error())
		return
	}
	w.gauges = s.FamilyInfo.OwnStats
	w.controller, err = control.New(settings.Config(s, e.Seed), now, w)
	if err != nil {
		w.disable(err.Error())
	}
}

// dispatch reports the event to the controller.
func (w *worker) dispatch(now time.Duration, e *wire.Event) {
	switch e.Code {
	case wire.Order:
		w.controller.Request(now, requestOf(e))
	case wire.Done:
		w.controller.Done(now, e.Request, duration(e.RttUs), outcomeOf(e.Reason))
	case wire.Aborted:
		w.controller.Canceled(now, e.Request)
	case wire.Blocked:
		w.controller.Blocked(now, e.Request)
	case wire.Called:
		w.controller.CallDone(now, e.Request, duration(e.RttUs), outcomeOf(e.Reason))
	case wire.Notice:
		w.controller.Drain(now, duration(e.LeftUs))
	case wire.Due:
		w.controller.Tick(now, settings.Gauges(w.gauges, e.Gauges))
	}
}

// duration converts the microseconds of a wire field.
func duration(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

// microseconds converts d for a wire field, rounded up so that a short time does not become zero.
func microseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min((d+time.Microsecond-1)/time.Microsecond, math.MaxUint32))
}

// outcomeOf returns the outcome for the status code of an event.
func outcomeOf(status uint16) control.Outcome {
	switch status {
	case 200:
		return control.OK
	case 503:
		return control.Rejected
	case 504:
		return control.TimedOut
	case 502:
		return control.Unreachable
	case 598:
		return control.Interrupted
	case 499:
		return control.Stopped
	case 410:
		return control.NotStarted
	}
	return control.Errored
}

// requestOf returns the request of an arrival event.
func requestOf(e *wire.Event) control.Request {
	r := control.Request{
		ID: e.Request, Class: int(e.Class), Tenant: int(e.Group),
		Rank: float64(e.Standing), Memory: float64(e.Footprint),
		TimeLeft: duration(e.LeftUs), Waited: duration(e.WaitedUs),
		Caller: e.Origin, Subject: e.Affinity, RepeatOf: e.DupOf,
		Retry: e.Options&wire.IsRetry != 0,
	}
	if e.Options&wire.HasHint != 0 {
		r.Work = duration(e.WorkUs)
	}
	return r
}

// The methods of control.Worker, each of which adds one action to the reply.

func (w *worker) Run(id uint32)    { w.host.reply.Action(wire.Run, w.number, id) }
func (w *worker) Stop(id uint32)   { w.host.reply.Action(wire.Yank, w.number, id) }
func (w *worker) Fail(id uint32)   { w.host.reply.Action(wire.Abort, w.number, id) }
func (w *worker) Skip(id uint32)   { w.host.reply.Action(wire.GoOn, w.number, id) }
func (w *worker) Forget(id uint32) { w.host.reply.Action(wire.Erase, w.number, id) }
func (w *worker) Replay(id uint32) { w.host.reply.Action(wire.Replay, w.number, id) }
func (w *worker) Log(text string)  { w.host.reply.Text(wire.NoteDown, w.number, text) }
func (w *worker) SetLevel(x float64) {
	w.host.reply.Action(wire.Say, w.number, math.Float32bits(float32(x)))
}

func (w *worker) Refuse(id uint32, away time.Duration, last bool) {
	w.host.reply.Action(wire.PushBack, w.number, id, microseconds(away))
	w.host.reply.Flag(last)
}

func (w *worker) Call(id uint32, patience time.Duration) {
	w.host.reply.Action(wire.CallBelow, w.number, id, microseconds(patience))
}

func (w *worker) Keep(id uint32, term time.Duration) {
	w.host.reply.Action(wire.Pin, w.number, id, microseconds(term))
}

func (w *worker) SetHealth(ok, stored bool) {
	w.host.reply.Action(wire.Readiness, w.number)
	w.host.reply.Flag(ok)
	w.host.reply.Flag(stored)
}

func (w *worker) CloseIdle(after time.Duration) {
	w.host.reply.Action(wire.Keepalive, w.number, microseconds(after))
}

func (w *worker) Wake(in time.Duration) {
	w.host.reply.Action(wire.SetTimer, w.number, 0, microseconds(in))
}
