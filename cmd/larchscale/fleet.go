package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"larchscale/internal/admin"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/takeout"
	"larchscale/internal/keeper"
	"larchscale/internal/link"
	"larchscale/internal/peers"
)

// joinOthers opens the way to the other boxes, and on it what this box has to say to them: the ledger's sums, its part
// in the fleet. The channel is closed once the fleet's part has ended, after ctx; lines are its figures, nil = none.
func joinOthers(ctx context.Context, cfg *config.Config, own *config.Operator, books *keeper.Keeper, figures func() *core.Figures,
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
		d, err := driver.New(own.Fleet, cfg.Name, way.Listen, way.Boxes, l, &body{figures: figures, holder: holder, guess: guess(cfg)}, log)
		if err != nil {
			return nil, nil, err
		}
		mux.Handle("/fleet/", d.Handler())
		lines = d.Lines
		go func() {
			defer close(ended)
			d.Run(ctx)
		}()
	} else {
		close(ended)
	}
	in, err := l.Listen()
	if err != nil {
		return nil, nil, err
	}
	go l.Serve(ctx, in, mux)
	return ended, lines, nil
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
	figures func() *core.Figures
	holder  *admin.Holder
	guess   float64
	meter   takeout.Meter
	read    time.Time
	load    float64
	most    float64
}

// Look implements driver.Body.
func (b *body) Look() (takeout.Local, takeout.Report) {
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
	wanted := f.KeyedUntil.UnixMilli()
	return takeout.Local{Warm: warm, Open: f.Active, KeyedUntil: wanted},
		takeout.Report{Warm: warm, Open: f.Active, KeyedUntil: wanted, Load: b.load, Capacity: b.most, Failing: !f.Serves}
}

// Hold implements driver.Body.
func (b *body) Hold(on bool) { b.holder.Hold(admin.ByFleet, on) }
