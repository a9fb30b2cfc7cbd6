package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Repeats say how callers of keyed writes go on after a try that brought no result.
type Repeats struct {
	Within   time.Duration // from the first try on; then the caller gives up
	Pause    time.Duration // before the next try
	Anywhere bool          // at any box, as boxes with one store promise; else at the box of the first try alone
	Patience time.Duration // for which a try's answer is waited for; 0 = as long as the write has, and a second
}

// Try is one sending of a keyed write.
type Try struct {
	Box, Front  string // Front: json or uwsgi
	Sent, Ended time.Time
	End         string // as in Seen
}

// Ran is one run of a keyed write at a worker pool.
type Ran struct {
	Box, Pool string
	At        time.Time
}

// Write is one keyed write: what its caller sent and saw, and where it ran.
type Write struct {
	Request
	Tries []Try
	Runs  []Ran
	End   string // what the caller was left with; "" = it goes on
	aimed bool   // at a box that was to be killed
}

// Audit sends keyed writes to a fleet on both fronts, repeats those that brought no result, and holds what its callers
// saw against the runs at all pools. It is safe for concurrent use.
type Audit struct {
	fleet *Fleet
	how   Repeats
	next  func() *Member
	done  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup

	mu      sync.Mutex
	rand    *rand.Rand
	streams map[string]*Stream
	writes  []*Write
	struck  []*Write // in hand at a box that was killed
	kept    []*Write // repeats of what a box that was killed had answered
}

// NewAudit makes an audit of a fleet. The seed fixes what is sent, and on which front.
func NewAudit(f *Fleet, seed uint64, how Repeats) *Audit {
	return &Audit{fleet: f, how: how, next: f.Balance(), done: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 3)), streams: map[string]*Stream{}}
}

// Call starts callers that each send one write after the other through the balancer, until Stop.
func (a *Audit) Call(callers int) {
	for i := range callers {
		a.wg.Go(func() {
			for {
				select {
				case <-a.done:
					return
				default:
				}
				if m := a.next(); m != nil {
					a.follow(a.begin(fmt.Sprint("audit", i)), m, nil)
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

// Stop ends the callers, once, and waits for what they have open.
func (a *Audit) Stop() {
	a.once.Do(func() { close(a.done) })
	a.wg.Wait()
}

// begin makes a write of a stream.
func (a *Audit) begin(stream string) *Write {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.streams[stream]
	if s == nil {
		s = NewStream(stream, a.rand.Uint64()^xxhash.Sum64String(stream))
		a.streams[stream] = s
	}
	r := s.Next()
	r.Class, r.Token = Classes[1], fmt.Sprintf("%s-%d", stream, s.n)
	w := &Write{Request: r}
	a.writes = append(a.writes, w)
	return w
}

// follow sends a write, first to m, until it is served or its time is over; first is closed when the first try ended.
func (a *Audit) follow(w *Write, m *Member, first chan<- struct{}) {
	end := time.Now().Add(a.how.Within)
	for at := m; ; {
		t := a.try(w.Request, at, time.Until(end))
		a.mu.Lock()
		w.Tries = append(w.Tries, t)
		over := t.End == "served" || t.End == "wrong" || time.Now().Add(a.how.Pause).After(end)
		if over {
			w.End = t.End
		}
		a.mu.Unlock()
		if first != nil {
			close(first)
			first = nil
		}
		if over {
			return
		}
		time.Sleep(a.how.Pause)
		if at = m; a.how.Anywhere {
			if x := a.next(); x != nil {
				at = x
			}
		}
	}
}

// try sends a request to a box once, on one of its fronts.
func (a *Audit) try(r Request, m *Member, budget time.Duration) Try {
	a.mu.Lock()
	r.Handle, r.Budget, r.Wait = fmt.Sprintf("%016x", a.rand.Uint64()), max(budget, 10*time.Millisecond), a.how.Patience
	t := Try{Box: m.Name, Front: "json", Sent: time.Now()}
	if a.rand.IntN(2) == 1 {
		t.Front = "uwsgi"
	}
	a.mu.Unlock()
	if t.Front == "json" {
		t.End = once(m.Listen, r).End
	} else {
		t.End = Desk(m.Desk, r).End
	}
	t.Ended = time.Now()
	return t
}

// ran tells how often a write has run at all pools.
func (a *Audit) ran(w *Write) []Ran {
	var out []Ran
	for _, m := range a.fleet.Members {
		for _, at := range m.Site.Ran(w.Body) {
			out = append(out, Ran{m.Name, m.Site.Pool, at})
		}
	}
	slices.SortFunc(out, func(a, b Ran) int { return a.At.Compare(b.At) })
	return out
}

// Strike kills a box with up to so many keyed writes in hand: it sends them, and kills the process once they run, or
// after a second. Their callers go on; Stop waits for them. With Anywhere it then asks elsewhere for as many results
// that the box gave out before.
func (a *Audit) Strike(m *Member, n int) {
	a.StrikeBy(m, n, m.Kill)
	if a.how.Anywhere {
		a.ask(m, n)
	}
}

// StrikeBy is Strike with another blow than a kill, and without asking for what the box gave out before. ended waits for
// the callers, and tells how many writes were in hand, and how many of these were served, having run once.
func (a *Audit) StrikeBy(m *Member, n int, blow func()) (ended func() (struck, survived int)) {
	hand := make([]*Write, n)
	firsts := make([]chan struct{}, n)
	var own sync.WaitGroup
	for i := range hand {
		hand[i], firsts[i] = a.begin("strike"), make(chan struct{})
		hand[i].aimed = true
		own.Add(1)
		a.wg.Go(func() {
			defer own.Done()
			a.follow(hand[i], m, firsts[i])
		})
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !slices.ContainsFunc(hand, func(w *Write) bool { return len(m.Site.Ran(w.Body)) == 0 }) {
			break
		}
	}
	at := time.Now()
	blow()
	var struck []*Write
	for i, w := range hand {
		<-firsts[i]
		a.mu.Lock()
		if t := &w.Tries[0]; t.End != "served" && t.Ended.After(at) && len(m.Site.Ran(w.Body)) > 0 {
			struck = append(struck, w)
		}
		a.mu.Unlock()
	}
	a.mu.Lock()
	a.struck = append(a.struck, struck...)
	a.mu.Unlock()
	return func() (int, int) {
		own.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		n := 0
		for _, w := range struck {
			if w.End == "served" && len(a.ran(w)) == 1 {
				n++
			}
		}
		return len(struck), n
	}
}

// recent is how long ago a result may have been given out to be asked for again: well within any window here.
const recent = 500 * time.Millisecond

// ask asks other boxes for results that m gave out of late. Their runs are counted with the first ones'.
func (a *Audit) ask(m *Member, n int) {
	a.mu.Lock()
	var of []*Write
	for _, w := range slices.Backward(a.writes) {
		if k := len(w.Tries) - 1; len(of) < n && w.End == "served" && w.Tries[k].Box == m.Name && time.Since(w.Tries[k].Ended) < recent {
			of = append(of, w)
		}
	}
	a.mu.Unlock()
	for _, w := range of {
		again := &Write{Request: w.Request}
		a.mu.Lock()
		a.kept = append(a.kept, again)
		a.mu.Unlock()
		a.wg.Go(func() {
			at := a.next()
			for end := time.Now().Add(a.how.Within); (at == nil || at == m) && time.Now().Before(end); at = a.next() {
				time.Sleep(10 * time.Millisecond)
			}
			if at != nil {
				a.follow(again, at, nil)
			}
		})
	}
}

// Writes counts writes; Late of those served came past Aim.
type Writes struct{ Asked, Served, Late int }

// Account is what an audit found.
type Account struct {
	Writes
	Steady           Writes         // of these without what Strike sent
	Wrong            int            // results of another write
	Failed           map[string]int // no result, by cause: the last end the caller saw, and whether it had run
	Lost             int            // of these: it ran, and nobody has the result
	Twice            []Write        // what ran more than once
	Struck, Survived int            // in hand at a box that was killed; of these served later, and run once
	Kept, Found      int            // results that a box that was killed had given out, asked for again elsewhere; of these the same came
}

func (n *Writes) add(w *Write) {
	n.Asked++
	if w.End == "served" {
		n.Served++
		if w.Tries[len(w.Tries)-1].Ended.Sub(w.Tries[0].Sent) > Aim {
			n.Late++
		}
	}
}

// Account holds callers against pools; it is whole after Stop.
func (a *Audit) Account() Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := Account{Failed: map[string]int{}}
	runs := map[string][]Ran{}
	for _, w := range a.writes {
		w.Runs = a.ran(w)
		runs[w.Token] = w.Runs
		out.Writes.add(w)
		if !w.aimed {
			out.Steady.add(w)
		}
		switch w.End {
		case "served":
		case "wrong":
			out.Wrong++
		default:
			cause := w.End + ", never ran"
			if len(w.Runs) > 0 {
				out.Lost++
				cause = w.End + ", ran"
			}
			out.Failed[cause]++
		}
		if len(w.Runs) > 1 {
			out.Twice = append(out.Twice, *w)
		}
	}
	good := func(list []*Write) (n int) {
		for _, w := range list {
			if w.End == "served" && len(runs[w.Token]) == 1 {
				n++
			}
		}
		return n
	}
	out.Struck, out.Survived = len(a.struck), good(a.struck)
	out.Kept, out.Found = len(a.kept), good(a.kept)
	return out
}
