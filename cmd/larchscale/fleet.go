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
	"larchscale/internal/fleet/desk"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/ground"
	"larchscale/internal/fleet/hand"
	"larchscale/internal/fleet/keep"
	"larchscale/internal/fleet/place"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/index"
	"larchscale/internal/keeper"
	"larchscale/internal/link"
	"larchscale/internal/peers"
)

// joinOthers opens the way to the other boxes, and on it what this box has to say to them: the ledger's sums, its part
// in the fleet. The channel is closed once the fleet's part has ended, after ctx; lines are its figures, nil = none.
func joinOthers(ctx context.Context, cfg *config.Config, own *config.Operator, books *keeper.Keeper, keys *desk.Desk, g *ground.Ground, tests *trials.Trials,
	stays *keep.Keep, figures func() *core.Figures,
	holder *admin.Holder, log *slog.Logger) (over <-chan struct{}, lines func() []byte, err error) {
	way := own.Ledger.Peers.Options
	l, err := link.New(way, log)
	if err != nil {
		return nil, nil, fmt.Errorf("ledger.peers.%w", err)
	}
	mux := http.NewServeMux()
	ended := make(chan struct{})
	if books != nil {
		others := peers.New(own.Ledger.Peers, cfg.Name, books, l, log)
		mux.Handle("/", others)
		go others.Run(ctx)
	}
	if own.Fleet.Dir != "" {
		body := &body{figures: figures, holder: holder, guess: guess(cfg)}
		modules := func() []driver.Module { return nil }
		if keys != nil {
			left := &left{map[string]*index.Client{trials.Present: index.New(cfg.Index, leftCalls, keys.Reply, log)}, tests}
			for _, a := range own.Fleet.TrialCalls {
				left.to[a] = index.New(a, leftCalls, keys.Reply, log)
			}
			if stays != nil {
				mux.Handle("/kept/", stays.Handler())
				stays.Stand(g, l, ways(own))
			}
			keys.Stand(g, l, left)
			go keys.Run(ctx)
			mux.Handle("/hand/", keys.Handler())
			modules = func() []driver.Module { return append(g.Modules(), tests.Module()) }
		}
		part := driver.NewPart(func() (*driver.Driver, error) {
			return driver.New(own.Fleet, cfg.Name, way.Listen, way.Others(), l, body, log, modules()...)
		}, log)
		mux.Handle("/fleet/", part)
		lines = part.Lines
		if keys != nil {
			lines = func() []byte { return append(part.Lines(), keys.Lines()...) }
		}
		go func() {
			defer close(ended)
			part.Run(ctx)
		}()
	} else {
		close(ended)
	}
	in, err := l.Listen()
	switch {
	case err == nil:
		go l.Serve(ctx, in, mux)
	case errors.Is(err, syscall.EADDRINUSE): // by the process that this one replaces
		go listenOn(ctx, l, mux, log)
	default:
		return nil, nil, err
	}
	return ended, lines, nil
}

// listenOn opens the way to the other boxes once its address is free.
func listenOn(ctx context.Context, l *link.Link, h http.Handler, log *slog.Logger) {
	for waits := false; ctx.Err() == nil; waits = true {
		in, err := l.Listen()
		if err == nil {
			l.Serve(ctx, in, h)
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
const maxMoves = place.Slices / 8

// leftCalls bounds the calls below that runs of lost boxes make at a time.
const leftCalls = 8

// left makes the calls below of runs of lost boxes, where trials that are over have them go.
type left struct {
	to    map[string]*index.Client
	tests *trials.Trials
}

// Call implements desk.Calls.
func (l *left) Call(handle string, number uint64, class string, subject uint64, patience time.Duration, once bool, body []byte) {
	l.to[l.tests.Found(class)].Call(handle, number, class, subject, patience, once, body)
}

// newDesk makes the box's desk at which keyed work is claimed in the fleet.
func newDesk(cfg *config.Config, own *config.Operator, cursor func() uint64, sink func(core.Event), log *slog.Logger) *desk.Desk {
	longest := time.Duration(0)
	for _, k := range cfg.Site.Control.Classes {
		longest = max(longest, core.ClaimLife(&k))
	}
	bytes := cfg.Limits.HomeBytes()
	return desk.New(desk.Options{Box: cfg.Name, Site: &cfg.Site, Cursor: cursor, Ways: ways(own),
		Limits: hand.Limits{Records: int(bytes / 1024), Bytes: bytes, Longest: longest}}, sink, log)
}

// newTrials makes what sends calls below where trials have them go.
func newTrials(cfg *config.Config, own *config.Operator, calls core.Caller, g *ground.Ground, sink func(core.Event), log *slog.Logger) *trials.Trials {
	classes, others := cfg.Site.Classes, map[string]core.Caller{}
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
	for _, b := range own.Ledger.Peers.Others() {
		out[b.Name] = b.Addr
	}
	return out
}

// newKeep makes the keeper of replies of calls below; nil = it is off.
func newKeep(cfg *config.Config, own *config.Operator, sink func(core.Event), log *slog.Logger) (*keep.Keep, error) {
	if own.Kept.Bytes == 0 {
		return nil, nil
	}
	return keep.New(own.Kept, cfg.Name, &cfg.Site, sink, log)
}

// together gives the figures of both; nil = there are none.
func together(a, b func() []byte) func() []byte {
	if a == nil {
		return b
	}
	return func() []byte { return append(a(), b()...) }
}

// listenEach is how often an address that is in use is asked for again.
const listenEach = 250 * time.Millisecond

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
	figures func() *core.Figures
	holder  *admin.Holder
	guess   float64
	meter   takeout.Meter
	read    time.Time
	load    float64
	most    float64
}

// Look implements driver.Body.
func (b *body) Look() takeout.Report {
	f, now := b.figures(), time.Now()
	if now.Sub(b.read) >= time.Second/2 {
		served := uint64(0)
		for _, n := range slices.Concat(f.OK, f.Errors) {
			served += n
		}
		b.read = now
		b.load, b.most = b.meter.Read(now.UnixMilli(), served, f.Use, b.guess)
	}
	warm := !f.WarmAt.IsZero() && !now.Before(f.WarmAt)
	return takeout.Report{Warm: warm, Open: f.Active, KeyedUntil: f.KeyedUntil.UnixMilli(), Load: b.load, Capacity: b.most, Failing: !f.Serves}
}

// Hold implements driver.Body.
func (b *body) Hold(on bool) { b.holder.Hold(admin.ByFleet, on) }
