// Package client calls larchscale boxes as a good citizen: it carries the caller's deadline, tries again only what may
// run again, within a budget, and heeds what boxes say of themselves. Its decisions are in client/retry and
// client/route.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"larchscale/client/retry"
	"larchscale/client/route"
)

// Bounds that the platform's protocol sets.
const (
	MaxBody  = 2 << 10
	maxToken = 128
	maxKeys  = 65536
)

// Request is one request of a caller.
type Request struct {
	Class  string
	Stand  string  // the tenant
	Rank   float64 // 0 to under 1
	Body   []byte
	Token  string        // a write's; "" with Keyed = one is made
	Keyed  bool          // it is a write that must not run twice
	Window time.Duration // of a keyed class: so long a repeat may come; 0 = 30 s
	Memory float64       // kilobytes that the box books; 0 = 32
}

// Result is what a call came to.
type Result struct {
	Body  []byte
	Box   string // that answered
	Tries int
	Token string // of a keyed write
}

// Error is a call that was not served.
type Error struct {
	Kind  error  // ErrRefused, ErrFailed, ErrUnknown or ErrTime
	Box   string // of the last try; "" = none was made
	Tries int
	Away  time.Duration // ErrRefused: when to come back; 0 = not known
	Why   string
}

// The kinds of Error.
var (
	ErrRefused = errors.New("refused: it never ran")
	ErrFailed  = errors.New("failed: it may have run")
	ErrUnknown = errors.New("a write whose outcome is not known: it may have run")
	ErrTime    = errors.New("out of time: it may have run")
	ErrRequest = errors.New("the request cannot be")
	ErrClosed  = errors.New("the client is closed")
)

func (e *Error) Error() string {
	return fmt.Sprintf("%v (box %q, %d tries, %s)", e.Kind, e.Box, e.Tries, e.Why)
}

// Unwrap gives the kind.
func (e *Error) Unwrap() error { return e.Kind }

// Options set up a client. The zero value of each is its default.
type Options struct {
	Name    string // tells this client's subset from others'
	Members []route.Member
	Retry   retry.Policy
	Route   route.Policy
	Ratio   float64 // further tries for each first one
	Floor   float64 // further tries a second at least
	Seed    uint64  // 0 = by chance
	Peer    uint32  // the caller's number, as boxes tell callers apart
}

// Client calls boxes. It is safe for concurrent use.
type Client struct {
	opt   Options
	start time.Time

	mu      sync.Mutex // of all decisions, which are quick
	table   *route.Table
	budgets *retry.Budgets
	keys    *route.Keys
	rand    *mrand.Rand
	lines   map[string]*lines // by box
	closed  bool
	counts  Counts
}

// Counts are a client's since its start.
type Counts struct {
	Calls, Tries, Served, Refused, Failed, Unknown, OutOfTime, Connections uint64
}

// New makes a client.
func New(o Options) (*Client, error) {
	if o.Retry == (retry.Policy{}) {
		o.Retry = retry.Defaults()
	}
	if o.Route == (route.Policy{}) {
		o.Route = route.Defaults()
	}
	if o.Ratio == 0 && o.Floor == 0 {
		o.Ratio, o.Floor = 0.1, 1
	}
	if o.Seed == 0 {
		o.Seed = mrand.Uint64()
	}
	if o.Name == "" {
		o.Name = fmt.Sprintf("%016x", o.Seed)
	}
	c := &Client{opt: o, start: time.Now(), table: route.New(o.Route, o.Name), budgets: retry.NewBudgets(o.Ratio, o.Floor),
		keys: route.NewKeys(maxKeys), rand: mrand.New(mrand.NewPCG(o.Seed, 1)), lines: map[string]*lines{}}
	if !c.table.Set(o.Members, 0) {
		return nil, fmt.Errorf("%w: no members", ErrRequest)
	}
	return c, nil
}

// Close ends all connections; calls in hand end with ErrClosed or their outcome.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	all := c.lines
	c.lines = map[string]*lines{}
	c.mu.Unlock()
	for _, l := range all {
		l.close()
	}
}

// Counts gives the counts so far.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

// check finds what cannot be sent, before anything is.
func check(r *Request) error {
	switch {
	case r.Class == "":
		return fmt.Errorf("%w: no class", ErrRequest)
	case len(r.Body) > MaxBody:
		return fmt.Errorf("%w: a body of %d bytes, %d at most", ErrRequest, len(r.Body), MaxBody)
	case len(r.Token) > maxToken:
		return fmt.Errorf("%w: a token of %d bytes", ErrRequest, len(r.Token))
	case !(r.Rank >= 0 && r.Rank < 1):
		return fmt.Errorf("%w: rank %v", ErrRequest, r.Rank)
	case !(r.Memory >= 0 && r.Memory < 2000):
		return fmt.Errorf("%w: memory %v", ErrRequest, r.Memory)
	case r.Token != "" && !r.Keyed:
		return fmt.Errorf("%w: a token without Keyed", ErrRequest)
	}
	return nil
}

// call is one call in hand.
type call struct {
	Request
	asked  bool // for a box
	tries  int
	tried  []string
	box    string // of the newest try
	unsure bool   // a try of a write may have run at box
	only   string // the next try must go there
	away   time.Duration
}

// Do makes a call. Its time is ctx's deadline, or 10 s.
func (c *Client) Do(ctx context.Context, r Request) (Result, error) {
	if err := check(&r); err != nil {
		return Result{}, err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
	}
	if r.Memory == 0 {
		r.Memory = 32
	}
	if r.Window == 0 {
		r.Window = 30 * time.Second
	}
	if r.Keyed && r.Token == "" {
		var b [16]byte
		rand.Read(b[:]) // it never fails
		r.Token = hex.EncodeToString(b[:])
	}
	x := &call{Request: r}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return Result{}, ErrClosed
	}
	c.counts.Calls++
	c.budgets.First(r.Class, c.now())
	if home, _, ok := c.keys.Get(r.Token, c.now()); ok && r.Keyed {
		x.only, x.unsure = home, true
	}
	c.mu.Unlock()
	for {
		e, err := c.try(ctx, x)
		if err != nil {
			return Result{}, err
		}
		plan := c.settle(ctx, x, e)
		if !plan.Again {
			return c.end(x, e, plan.Why)
		}
		if !sleep(ctx, plan.After) {
			return c.end(x, e, retry.NoTime)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try picks a box, waiting for one if need be, and makes one try.
func (c *Client) try(ctx context.Context, x *call) (answer, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return answer{}, ErrClosed
		}
		m, ok, wait := c.table.Pick(route.Ask{Rank: x.Rank, Not: x.tried, Only: x.only, Again: x.asked}, c.now(), c.rand)
		x.asked = true
		if !ok && len(x.tried) > 0 && x.only == "" { // all were tried: they may be tried again
			x.tried = nil
			m, ok, wait = c.table.Pick(route.Ask{Rank: x.Rank, Again: true}, c.now(), c.rand)
		}
		var l *lines
		if ok {
			c.counts.Tries++
			if l = c.lines[m.Name]; l == nil || l.addr != m.Addr {
				l = newLines(c, m)
				c.lines[m.Name] = l
			}
			if x.Keyed && !c.keys.Put(x.Token, m.Name, c.now()+x.Window, c.now()) {
				c.table.Ended(m.Name, route.End{Good: true, Refused: true, Level: -1}, c.now())
				c.mu.Unlock()
				return answer{}, &Error{Kind: ErrRefused, Tries: x.tries, Why: "too many writes are open"}
			}
		}
		c.mu.Unlock()
		if ok {
			x.tries++
			x.box = m.Name
			x.tried = append(x.tried, m.Name)
			return l.do(ctx, x), nil
		}
		left := time.Until(deadline(ctx))
		if wait == 0 {
			wait = 20 * time.Millisecond // something in flight has to end
		}
		if wait >= left || !sleep(ctx, wait) {
			return answer{outcome: retry.Refused, away: wait, why: "no box takes it in time", local: true}, nil
		}
	}
}

func deadline(ctx context.Context) time.Time {
	d, _ := ctx.Deadline()
	return d
}

// settle learns from a try and decides what follows.
func (c *Client) settle(ctx context.Context, x *call, e answer) retry.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !e.local {
		good := e.outcome == retry.Served || e.outcome == retry.Refused || e.outcome == retry.Failed
		if e.outcome != retry.Late || e.silent {
			c.table.Ended(x.box, route.End{Took: e.took, Good: good, Gone: e.gone, Refused: e.outcome == retry.Refused, Away: e.away, Level: e.level}, now)
		} else {
			c.table.Ended(x.box, route.End{Good: true, Refused: true, Level: -1}, now) // its caller's time was short: no fault of its
		}
	}
	x.away = e.away
	if x.Keyed {
		x.unsure = x.unsure || !e.outcome.NeverRan() && e.outcome != retry.Served
		if !x.unsure && e.outcome != retry.Served {
			c.keys.Drop(x.Token)
		}
	}
	_, window, _ := c.keys.Get(x.Token, now)
	others := len(c.table.Subset()) > len(x.tried)
	plan := retry.Next(c.opt.Retry, retry.Try{Number: max(1, x.tries), Outcome: e.outcome, Keyed: x.Keyed, Unsure: x.unsure, Away: e.away,
		Final: e.final, Others: others, Window: window, Left: time.Until(deadline(ctx)), Usual: e.took / 2}, x.Class, c.budgets, now, c.rand)
	x.only = ""
	if plan.Where == retry.Same {
		x.only = x.box
	}
	if x.only != "" && !x.unsure && !e.final { // it is free to go anywhere once it may be tried again
		x.only, x.tried = "", nil
	}
	return plan
}

// end makes the result or the error of a call.
func (c *Client) end(x *call, e answer, why retry.Why) (Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.outcome == retry.Served {
		c.counts.Served++
		return Result{Body: e.body, Box: x.box, Tries: x.tries, Token: x.Token}, nil
	}
	out := &Error{Box: x.box, Tries: x.tries, Away: x.away, Why: e.why}
	switch {
	case x.Keyed && x.unsure && e.outcome != retry.Failed:
		out.Kind = ErrUnknown
		c.counts.Unknown++
	case e.outcome.NeverRan():
		out.Kind = ErrRefused
		c.counts.Refused++
	case e.outcome == retry.Late:
		out.Kind = ErrTime
		c.counts.OutOfTime++
	default:
		out.Kind = ErrFailed
		c.counts.Failed++
	}
	if why == retry.NoBudget {
		out.Why += "; no budget for another try"
	}
	return Result{}, out
}
