package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"syscall"
	"time"

	"larchscale/internal/admin"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/fleet/claimstore"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/fleet/placement"
	"larchscale/internal/fleet/replycache"
	"larchscale/internal/fleet/takeover"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/index"
	"larchscale/internal/link"
	"larchscale/internal/peers"
)

// joinFleet connects this server to its peers, if the operator names any, and starts what it shares with them: the sums
// of the ledger and its membership of the fleet, which close waits for.
func (s *server) joinFleet(ctx context.Context) error {
	if s.operator.Ledger.Peers.Listen == "" {
		return nil
	}
	peerLink, err := link.New(s.operator.Ledger.Peers.Options, s.log)
	if err != nil {
		return fmt.Errorf("ledger.peers.%w", err)
	}
	mux := http.NewServeMux()
	if s.ledger != nil {
		sums := peers.New(s.operator.Ledger.Peers, s.config.Name, s.ledger, peerLink, s.log)
		mux.Handle("/", sums)
		go sums.Run(ctx)
	}
	fleetEnded := make(chan struct{})
	if s.operator.Fleet.Dir != "" {
		part := s.newMember(ctx, peerLink, mux)
		go func() {
			defer close(fleetEnded)
			part.Run(ctx)
		}()
	} else {
		close(fleetEnded)
	}
	if err := s.listenForPeers(ctx, peerLink, mux); err != nil {
		return err
	}
	s.onClose(func() { <-fleetEnded })
	s.onClose(s.stop) // its last messages are written before the process ends
	return nil
}

// newMember makes this server's membership of the fleet, served at mux and reached over the link.
func (s *server) newMember(ctx context.Context, peerLink *link.Link, mux *http.ServeMux) *driver.Membership {
	body := &body{figures: s.core.Metrics, holder: s.holder, guess: guess(s.config)}
	modules := func() []driver.Module { return nil }
	if s.claims != nil {
		s.startTakeOver(ctx, peerLink, mux)
		modules = func() []driver.Module { return append(s.membership.Modules(), s.experiments.Module()) }
	}
	way := s.operator.Ledger.Peers.Options
	part := driver.NewMembership(func() (*driver.Driver, error) {
		return driver.New(s.operator.Fleet, s.config.Name, way.Listen, way.Peers(), peerLink, body, s.log, modules()...)
	}, s.log)
	mux.Handle("/fleet/", part)
	s.metrics = part.Metrics
	if s.claims != nil {
		s.metrics = joinMetrics(part.Metrics, s.claims.Metrics)
	}
	return part
}

// startTakeOver starts the claims of keyed requests, replicated in the fleet, and has the reply cache share its replies.
func (s *server) startTakeOver(ctx context.Context, peerLink *link.Link, mux *http.ServeMux) {
	left := &left{map[string]*index.Client{trials.Present: index.New(s.config.Index, leftCalls, s.claims.Reply, s.log)}, s.experiments}
	for _, a := range s.operator.Fleet.TrialCalls {
		left.to[a] = index.New(a, leftCalls, s.claims.Reply, s.log)
	}
	if s.replies != nil {
		mux.Handle("/kept/", s.replies.Handler())
		s.replies.Stand(s.membership, peerLink, ways(s.operator))
	}
	s.claims.Attach(s.membership, peerLink, left)
	go s.claims.Run(ctx)
	mux.Handle("/hand/", s.claims.Handler())
}

// listenForPeers serves the peers at the link's address, at once or as soon as the process that this one replaces has
// released it.
func (s *server) listenForPeers(ctx context.Context, peerLink *link.Link, handler http.Handler) error {
	listener, err := peerLink.Listen()
	switch {
	case err == nil:
		go peerLink.Serve(ctx, listener, handler)
	case errors.Is(err, syscall.EADDRINUSE):
		go listenOn(ctx, peerLink, handler, s.log)
	default:
		return err
	}
	return nil
}

// listenEach is how often an address that is in use is asked for again.
const listenEach = 250 * time.Millisecond

// listenOn serves the peers once the link's address is free.
func listenOn(ctx context.Context, peerLink *link.Link, handler http.Handler, log *slog.Logger) {
	for waits := false; ctx.Err() == nil; waits = true {
		listener, err := peerLink.Listen()
		if err == nil {
			peerLink.Serve(ctx, listener, handler)
			return
		}
		if !waits {
			log.Warn("link", "do", "listen", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listenEach):
		}
	}
}

// maxMoves bounds the slices that move at a time: an eighth of all.
const maxMoves = placement.Shards / 8

// leftCalls bounds the calls below that runs of lost boxes make at a time.
const leftCalls = 8

// left makes the calls below of runs of lost boxes, where trials that are over have them go.
type left struct {
	to    map[string]*index.Client
	tests *trials.Trials
}

// Call implements claimstore.Caller.
func (l *left) Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte) {
	l.to[l.tests.Found(class)].Call(handle, number, class, subject, patience, once, body)
}

// newDesk makes the box's desk at which keyed work is claimed in the fleet.
func newDesk(cfg *config.Config, own *config.Operator, cursor func() uint64, sink func(core.Event), log *slog.Logger) *claimstore.Store {
	longest := time.Duration(0)
	for _, k := range cfg.Site.Control.Classes {
		longest = max(longest, core.ClaimLife(&k))
	}
	bytes := cfg.Limits.HomeBytes()
	return claimstore.New(claimstore.Options{Server: cfg.Name, Site: &cfg.Site, Cursor: cursor, Addresses: ways(own),
		Limits: takeover.Limits{Records: int(bytes / 1024), Bytes: bytes, MaxRetention: longest}}, sink, log)
}

// newTrials makes what sends calls below where trials have them go.
func newTrials(cfg *config.Config, own *config.Operator, calls core.Downstream, g *membership.State, sink func(core.Event), log *slog.Logger) *trials.Trials {
	classes, others := cfg.Site.Classes, map[string]core.Downstream{}
	if cfg.Index == "" { // no class makes calls here
		classes = nil
	}
	for _, a := range own.Fleet.TrialCalls {
		others[a] = index.New(a, cfg.Limits.Calls, sink, log)
	}
	return trials.New(trials.Options{Classes: classes, Present: calls, Others: others, Holds: g.Holds, Now: g.Now}, log)
}

// ways are the other boxes' addresses as the operator wrote them, by name.
func ways(own *config.Operator) map[string]string {
	out := map[string]string{}
	for _, b := range own.Ledger.Peers.Peers() {
		out[b.Name] = b.Addr
	}
	return out
}

// newReplyCache makes the cache of replies of calls below; nil = it is off.
func newReplyCache(cfg *config.Config, own *config.Operator, sink func(core.Event), log *slog.Logger) (*replycache.Cache, error) {
	if own.Kept.Bytes == 0 {
		return nil, nil
	}
	return replycache.New(own.Kept, cfg.Name, &cfg.Site, sink, log)
}

// joinMetrics returns the metrics of both; nil = there are none.
func joinMetrics(a, b func() []byte) func() []byte {
	if a == nil {
		return b
	}
	return func() []byte { return append(a(), b()...) }
}

// guess is what a box may carry before it was busy enough to tell: its part of all quotas.
func guess(cfg *config.Config) float64 {
	sum := 0.0
	for _, t := range cfg.Site.Control.Tenants {
		sum += t.Quota
	}
	return sum / float64(max(1, cfg.Site.Control.Servers))
}

// body is this box as the fleet sees it, from what the core publishes.
type body struct {
	figures func() *core.Metrics
	holder  *admin.HealthHolder
	guess   float64
	meter   maintenance.Meter
	read    time.Time
	load    float64
	most    float64
}

// Report implements driver.Process.
func (b *body) Report() maintenance.Report {
	f, now := b.figures(), time.Now()
	if now.Sub(b.read) >= time.Second/2 {
		served := uint64(0)
		for _, n := range slices.Concat(f.OK, f.Errors) {
			served += n
		}
		b.read = now
		b.load, b.most = b.meter.Update(now.UnixMilli(), served, f.CoreUse, b.guess)
	}
	warm := !f.WarmAt.IsZero() && !now.Before(f.WarmAt)
	return maintenance.Report{Warm: warm, Open: f.Active, KeyedUntil: f.KeyedUntil.UnixMilli(), Load: b.load, Capacity: b.most, Failing: !f.Serving}
}

// HoldHealth implements driver.Process.
func (b *body) HoldHealth(on bool) { b.holder.Set(admin.ByFleet, on) }
