// Package peers lets servers that may communicate exchange the sealed states of their ledgers, until each can produce
// the statement of a period for the whole fleet. A server asks each peer for digests and fetches the states that
// differ. It accepts only what a server reports about itself.
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

// Options is the table [ledger.peers] of the operator's configuration.
type Options struct {
	link.Options
	EveryMs int `toml:"every_ms"`
}

// Defaults returns the options that apply where the operator's file sets none.
func Defaults() Options { return Options{EveryMs: 10_000} }

// Check returns an error for settings that are out of range.
func (o *Options) Check() error {
	if err := o.Options.Check("ledger.peers"); err != nil {
		return err
	}
	if o.EveryMs < 10 || o.EveryMs > 3_600_000 {
		return fmt.Errorf("ledger.peers: every_ms is %d, must be 10 to 3600000", o.EveryMs)
	}
	return nil
}

// Ledger is the server's own ledger.
type Ledger interface {
	// PeriodStates returns the digest and the encoded sealed state of each period.
	PeriodStates(ctx context.Context) ([]ledger.Digest, [][]byte, error)
}

// Peers exchanges the ledger states of one server with its peers.
type Peers struct {
	options    Options
	self       string
	book       Ledger
	log        *slog.Logger
	link       *link.Link
	mu         sync.Mutex
	table      *ledger.Peers
	unanswered map[string]bool // peers that did not answer the last request
}

// New returns the exchange of server self, which asks its peers over l.
func New(opt Options, self string, book Ledger, l *link.Link, log *slog.Logger) *Peers {
	return &Peers{options: opt, self: self, book: book, log: log, link: l, table: ledger.NewPeers(self), unanswered: map[string]bool{}}
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
		s, err := p.table.Statement(r.URL.Query().Get("period"), digests, states, p.peerNames())
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

func (p *Peers) peerNames() (names []string) {
	for _, peer := range p.options.Peers() {
		names = append(names, peer.Name)
	}
	return names
}

// Run asks all peers repeatedly until ctx ends. A peer that does not answer does not delay the others.
func (p *Peers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p.AskAll(ctx)
		every := time.Duration(p.options.EveryMs) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(every/2 + rand.N(every)): // random, so that servers started together spread their requests
		}
	}
}

// AskAll asks each peer once, all concurrently.
func (p *Peers) AskAll(ctx context.Context) {
	var requests sync.WaitGroup
	for _, peer := range p.options.Peers() {
		requests.Go(func() {
			err := p.askPeer(ctx, peer.Name, peer.Addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil && !p.unanswered[peer.Name] && ctx.Err() == nil {
				p.log.Warn("ledger", "do", "peers", "peer", peer.Name, "err", err)
			}
			p.unanswered[peer.Name] = err != nil
		})
	}
	requests.Wait()
}

// askPeer updates this server's table with what a peer reports about itself.
func (p *Peers) askPeer(ctx context.Context, name, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*link.RequestTimeout)
	defer cancel()
	client := p.link.Dial(name, addr)
	defer client.Close()
	get := func(path string, query url.Values) ([]byte, error) { return client.Get(ctx, path, query) }
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

// Statement asks server self, at the address in its own settings, for the fleet's statement of a period.
func Statement(ctx context.Context, opt Options, self, period string) (s ledger.Statement, err error) {
	ctx, cancel := context.WithTimeout(ctx, link.RequestTimeout)
	defer cancel()
	peerLink, err := link.New(opt.Options, slog.New(slog.DiscardHandler))
	if err != nil {
		return s, fmt.Errorf("ledger.peers.%w", err)
	}
	client := peerLink.Dial(self, opt.Listen)
	defer client.Close()
	text, err := client.Get(ctx, "/statement", url.Values{"period": {period}})
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}
