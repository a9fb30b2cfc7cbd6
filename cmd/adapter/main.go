// Command adapter hosts many larchscale controllers on the simulator's wire: batches of events on
// standard input, one reply to each on standard output. It decides nothing.
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
		if _, err := w.Write(h.answer()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type host struct {
	workers map[uint32]*worker
	batch   wire.Batch
	reply   wire.Reply
	turn    []*worker // those with an event in this batch, in order of appearance
	batches uint64
}

// worker is one instance: it carries the controller's actions to the wire.
type worker struct {
	host   *host
	who    uint32
	ctl    *control.Controller
	gauges []string
	failed bool
	seen   uint64 // the batch in which it last had an event
}

func (h *host) answer() []byte {
	h.reply.Reset()
	h.turn = h.turn[:0]
	h.batches++
	now := time.Duration(h.batch.NowUs) * time.Microsecond
	for i := range h.batch.Events {
		h.feed(now, &h.batch.Events[i])
	}
	for _, w := range h.turn {
		if h.workers[w.who] == w {
			w.guard(func() { w.ctl.Decide(now) })
		}
	}
	return h.reply.Bytes()
}

func (h *host) feed(now time.Duration, e *wire.Event) {
	switch e.Code {
	case wire.Kill:
		delete(h.workers, e.Who)
		return
	case wire.Born:
		w := &worker{host: h, who: e.Who}
		h.workers[e.Who] = w
		w.guard(func() { w.born(now, e) })
	}
	w := h.workers[e.Who]
	if w == nil || w.failed {
		return
	}
	if w.seen != h.batches {
		w.seen = h.batches
		h.turn = append(h.turn, w)
	}
	w.guard(func() { w.event(now, e) })
}

// guard turns a panic of the module into the worker's own failure.
func (w *worker) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			w.giveIn(fmt.Sprint(p))
		}
	}()
	if !w.failed {
		f()
	}
}

func (w *worker) giveIn(text string) {
	w.failed = true
	w.host.reply.Text(wire.GiveIn, w.who, text)
}

func (w *worker) born(now time.Duration, e *wire.Event) {
	s, err := wire.ParseSettings(e.Settings)
	if err != nil {
		w.giveIn(err.Error())
		return
	}
	w.gauges = s.FamilyInfo.OwnStats
	w.ctl, err = control.New(settings.Config(s, e.Seed), now, w)
	if err != nil {
		w.giveIn(err.Error())
	}
}

func (w *worker) event(now time.Duration, e *wire.Event) {
	switch e.Code {
	case wire.Order:
		w.ctl.Request(now, requestOf(e))
	case wire.Done:
		w.ctl.Done(now, e.Request, us(e.RttUs), outcomeOf(e.Reason))
	case wire.Aborted:
		w.ctl.Gone(now, e.Request)
	case wire.Blocked:
		w.ctl.AtCall(now, e.Request)
	case wire.Called:
		w.ctl.CallDone(now, e.Request, us(e.RttUs), outcomeOf(e.Reason))
	case wire.Notice:
		w.ctl.Leave(now, us(e.LeftUs))
	case wire.Due:
		w.ctl.Tick(now, settings.Gauges(w.gauges, e.Gauges))
	}
}

func us(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }

// micros is d on the wire, rounded up so that a short time never becomes none.
func micros(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min((d+time.Microsecond-1)/time.Microsecond, math.MaxUint32))
}

func outcomeOf(code uint16) control.Outcome {
	switch code {
	case 200:
		return control.OK
	case 503:
		return control.Rejected
	case 504:
		return control.TimedOut
	case 502:
		return control.Unreachable
	case 598:
		return control.Broken
	case 499:
		return control.Stopped
	case 410:
		return control.Moot
	}
	return control.Errored
}

func requestOf(e *wire.Event) control.Request {
	r := control.Request{
		ID: e.Request, Class: int(e.Class), Tenant: int(e.Group),
		Rank: float64(e.Standing), Memory: float64(e.Footprint),
		Left: us(e.LeftUs), Waited: us(e.WaitedUs),
		Caller: e.Origin, Subject: e.Affinity, Repeat: e.DupOf,
		Retry: e.Options&wire.IsRetry != 0,
	}
	if e.Options&wire.HasHint != 0 {
		r.Work = us(e.WorkUs)
	}
	return r
}

// The worker's actions, as the wire has them.

func (w *worker) Run(id uint32)    { w.host.reply.Action(wire.Run, w.who, id) }
func (w *worker) Stop(id uint32)   { w.host.reply.Action(wire.Yank, w.who, id) }
func (w *worker) Fail(id uint32)   { w.host.reply.Action(wire.Abort, w.who, id) }
func (w *worker) Skip(id uint32)   { w.host.reply.Action(wire.GoOn, w.who, id) }
func (w *worker) Forget(id uint32) { w.host.reply.Action(wire.Erase, w.who, id) }
func (w *worker) Replay(id uint32) { w.host.reply.Action(wire.Replay, w.who, id) }
func (w *worker) Log(text string)  { w.host.reply.Text(wire.NoteDown, w.who, text) }
func (w *worker) SetLevel(x float64) {
	w.host.reply.Action(wire.Say, w.who, math.Float32bits(float32(x)))
}

func (w *worker) Refuse(id uint32, away time.Duration, last bool) {
	w.host.reply.Action(wire.PushBack, w.who, id, micros(away))
	w.host.reply.Flag(last)
}

func (w *worker) Call(id uint32, patience time.Duration) {
	w.host.reply.Action(wire.CallBelow, w.who, id, micros(patience))
}

func (w *worker) Keep(id uint32, term time.Duration) {
	w.host.reply.Action(wire.Pin, w.who, id, micros(term))
}

func (w *worker) SetHealth(ok, stored bool) {
	w.host.reply.Action(wire.Readiness, w.who)
	w.host.reply.Flag(ok)
	w.host.reply.Flag(stored)
}

func (w *worker) CloseIdle(after time.Duration) {
	w.host.reply.Action(wire.Keepalive, w.who, micros(after))
}

func (w *worker) Wake(in time.Duration) {
	w.host.reply.Action(wire.SetTimer, w.who, 0, micros(in))
}
