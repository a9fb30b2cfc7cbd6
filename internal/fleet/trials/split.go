package trials

import (
	"strconv"
	"sync"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/fleet/trial"
)

// The guards that a plan may name: each is 1 for a unit that did well.
const (
	Failures = "failures" // 0 if it was not served
	Lateness = "lateness" // 0 if it was not served in its aim
	Below    = "below"    // share of its calls below that brought a reply
)

// Present is the value of an arm that calls as the box does without a trial.
const Present = "index"

// way is where calls of a class go, as the agreed state has it. It does not change; the tally does.
type way struct {
	trial trial.Trial
	tally *tally // nil = nothing counts: the trial is over, or a process that is new was not heard of yet
}

// tally is what this process counts for a trial. The core's loop and the fleet's share it.
type tally struct {
	mu    sync.Mutex
	count *trial.Counter
	sent  int      // reports
	units [2]int64 // assigned
	open  int      // of them those that are not judged
}

// unit is one request that is counted, until it is judged.
type unit struct {
	tally      *tally
	block, arm int
	guards     []string
}

// Call implements core.Downstream, on the core's loop.
func (t *Trials) Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte) {
	to := t.to(t.choose(handle, class, subject))
	for _, c := range t.callers { // the call before may have gone elsewhere
		if c != to {
			c.Abandon(handle)
		}
	}
	to.Call(handle, number, class, subject, patience, once, body)
}

// to is the caller of an address that this box knows.
func (t *Trials) to(addr string) core.Downstream {
	if c := t.others[addr]; c != nil {
		return c
	}
	return t.present
}

// choose gives where a call goes, and counts the unit that it is of.
func (t *Trials) choose(handle, class string, subject uint64) string {
	w := (*t.ways.Load())[class]
	if w == nil {
		return Present
	}
	arm, counts := w.trial.Assign(t.holds(), strconv.FormatUint(subject, 10))
	if subject == 0 && w.trial.Open() { // it is nobody's: it can be no unit
		arm, counts = 0, false
	}
	if _, again := t.units[handle]; counts && !again {
		if w.tally == nil || t.leaves.Load() || !w.tally.assigned(w.trial.Block, arm) {
			return w.trial.Spec.Values[0]
		}
		u := unit{w.tally, w.trial.Block, arm, nil}
		for _, g := range w.trial.Spec.Plan.Guards {
			u.guards = append(u.guards, g.Name)
		}
		t.units[handle] = u
	}
	return w.trial.Spec.Values[arm]
}

// Found is where the calls of a class go that are nobody's unit: by what was found if a trial is over, else as A. It is
// safe from any goroutine.
func (t *Trials) Found(class string) (addr string) {
	w := (*t.ways.Load())[class]
	if w == nil {
		return Present
	}
	arm := 0
	if !w.trial.Open() {
		arm, _ = w.trial.Assign(t.holds(), "")
	}
	return w.trial.Spec.Values[arm]
}

// Leave tells that this process ends in order: it counts no new units, and once those it has are judged, it says that
// it is none that was lost. It is safe from any goroutine.
func (t *Trials) Leave() { t.leaves.Store(true) }

// Abandon implements core.Downstream, on the core's loop.
func (t *Trials) Abandon(handle string) {
	for _, c := range t.callers {
		c.Abandon(handle)
	}
}

// RequestEnded implements core.OutcomeObserver, on the core's loop.
func (t *Trials) RequestEnded(handle string, w core.RequestOutcome) {
	u, ok := t.units[handle]
	if !ok {
		return
	}
	delete(t.units, handle)
	guards := make([]float64, len(u.guards))
	for i, name := range u.guards {
		switch name {
		case Failures:
			guards[i] = share(w.Served)
		case Lateness:
			guards[i] = share(w.Served && !w.Late)
		case Below:
			guards[i] = 1 - float64(w.Lost)/float64(max(1, w.Calls))
		}
	}
	u.tally.mu.Lock()
	defer u.tally.mu.Unlock()
	u.tally.open--
	if err := u.tally.count.Value(u.block, u.arm, w.Value, guards...); err != nil {
		t.log.Error("fleet", "do", "trial", "err", err)
	}
}

func share(ok bool) float64 {
	if ok {
		return 1
	}
	return 0
}

// assigned counts a unit; false = its block is not counted.
func (c *tally) assigned(block, arm int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count.Assigned(block, arm) != nil {
		return false
	}
	c.units[arm]++
	c.open++
	return true
}
