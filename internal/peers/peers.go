// Package peers lets boxes that may talk exchange what they have sealed, until each can state a period for the
// whole fleet. A box asks each peer for digests and fetches what differs; it believes a box only about itself.
package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"larchscale/internal/ledger"
	"larchscale/internal/link"
)

// Options are the operator's table [ledger.peers].
type Options struct {
	link.Options
	EveryMs int `toml:"every_ms"`
}

// Defaults are the options that a file need not name.
func Defaults() Options { return Options{EveryMs: 10_000} }

// Check finds what cannot be.
func (o *Options) Check() error {
	if err := o.Options.Check("ledger.peers"); err != nil {
		return err
	}
	if o.EveryMs < 10 || o.EveryMs > 3_600_000 {
		return fmt.Errorf("ledger.peers: every %d ms; 10 to 3600000 ms", o.EveryMs)
	}
	return nil
}

// Book is the box's own ledger.
type Book interface {
	// PeriodStates gives what is sealed of each period.
	PeriodStates(ctx context.Context) ([]ledger.Digest, [][]byte, error)
}

// Peers is one box among others.
type Peers struct {
	opt    Options
	self   string
	book   Book
	log    *slog.Logger
	link   *link.Link
	mu     sync.Mutex
	table  *ledger.Peers
	silent map[string]bool // who did not answer the last time
}

// New makes the peers of box self, which serve whatever comes to them over l.
func New(opt Options, self string, book Book, l *link.Link, log *slog.Logger) *Peers {
	return &Peers{opt: opt, self: self, book: book, log: log, link: l, table: ledger.NewPeers(self), silent: map[string]bool{}}
}

// ServeHTTP answers /digests, /state?start=MS and /statement?period=NAME.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digests, states, err := p.book.PeriodStates(r.Context())
	if err != nil || r.Method != http.MethodGet {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/digests":
		p.mu.Lock()
		all := append(digests, p.table.Digests()...)
		p.mu.Unlock()
		w.Write(ledger.EncodeDigests(all))
	case "/state":
		i := slices.IndexFunc(digests, func(d ledger.Digest) bool { return strconv.FormatInt(d.Start, 10) == r.URL.Query().Get("start") })
		if i < 0 || states[i] == nil {
			http.NotFound(w, r)
			return
		}
		w.Write(states[i])
	case "/statement":
		p.mu.Lock()
		s, err := p.table.Statement(r.URL.Query().Get("period"), digests, states, p.boxes())
		p.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(s)
	default:
		http.NotFound(w, r)
	}
}

func (p *Peers) boxes() (names []string) {
	for _, b := range p.opt.Others() {
		names = append(names, b.Name)
	}
	return names
}

// Run asks all peers, over and over, until ctx ends. One that does not answer stops none of the others.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Round(ctx)
		every := time.Duration(p.opt.EveryMs) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(every/2 + rand.N(every)): // boxes that start together spread
		}
	}
}

// Round asks each peer once, all at a time.
func (p *Peers) Round(ctx context.Context) {
	var all sync.WaitGroup
	for _, b := range p.opt.Others() {
		all.Go(func() {
			err := p.ask(ctx, b.Name, b.Addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil && !p.silent[b.Name] && ctx.Err() == nil {
				p.log.Warn("ledger", "do", "peers", "peer", b.Name, "err", err)
			}
			p.silent[b.Name] = err != nil
		})
	}
	all.Wait()
}

// ask brings this box's table up to what a peer says of itself.
func (p *Peers) ask(ctx context.Context, name, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*link.Within)
	defer cancel()
	c := p.link.Dial(name, addr)
	defer c.Close()
	get := func(path string, query url.Values) ([]byte, error) { return c.Get(ctx, path, query) }
	text, err := get("/digests", nil)
	if err != nil {
		return err
	}
	list, err := ledger.DecodeDigests(text)
	if err != nil {
		return err
	}
	p.mu.Lock()
	fetch, err := p.table.Compare(name, list)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	for _, d := range fetch {
		state, err := get("/state", url.Values{"start": {strconv.FormatInt(d.Start, 10)}})
		if err != nil {
			return err
		}
		p.mu.Lock()
		err = p.table.Take(name, d, state)
		p.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// Statement asks the box self, by its own settings, for the fleet's statement of a period.
func Statement(ctx context.Context, opt Options, self, period string) (s ledger.Statement, err error) {
	ctx, cancel := context.WithTimeout(ctx, link.Within)
	defer cancel()
	l, err := link.New(opt.Options, slog.New(slog.DiscardHandler))
	if err != nil {
		return s, fmt.Errorf("ledger.peers.%w", err)
	}
	c := l.Dial(self, opt.Listen)
	defer c.Close()
	text, err := c.Get(ctx, "/statement", url.Values{"period": {period}})
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}
