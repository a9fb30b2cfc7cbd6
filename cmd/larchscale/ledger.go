package main

import (
	"context"
	"fmt"
	"log/slog"

	"larchscale/internal/config"
	"larchscale/internal/export"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/wal"
)

// openLedger opens the usage ledger before anything else is opened. It returns nil if the operator keeps none.
func openLedger(operator *config.Operator, cfg *config.Config, log *slog.Logger) (*ledgerstore.Store, error) {
	dir := wal.Dir(operator.Ledger.Dir)
	if dir == "" {
		return nil, nil
	}
	if err := dir.Make(); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if _, err := dir.Lock(); err != nil { // held until the process ends
		return nil, fmt.Errorf("ledger: %w", err)
	}
	site := ledgerstore.Config{Server: cfg.Name, Stands: cfg.Site.Tenants, Classes: cfg.Site.Classes, Boot: ledgerstore.BootID()}
	ledger, err := ledgerstore.Open(dir, operator.Ledger.Options, site, log)
	if err != nil {
		return nil, fmt.Errorf("ledger: %s: %w", dir, err)
	}
	return ledger, nil
}

// startLedger has the core record its requests in the ledger, and the ledger exported to its collector.
func (s *server) startLedger(ctx context.Context) error {
	if s.ledger == nil {
		return nil
	}
	s.core.AttachLedger(s.ledger)
	s.ledger.Attach(s.core.Send, s.core.Start())
	go s.ledger.Run()
	if s.operator.Ledger.Collector.URL == "" {
		return nil
	}
	exporter, err := export.New(s.operator.Ledger.Collector, s.ledger, nil, s.log)
	if err != nil {
		return err
	}
	go exporter.Run(ctx)
	return nil
}

// closeLedger writes the last entries of the ledger, while the fronts write their last answers. The channel is closed
// once that is done, or has taken lastWrites.
func closeLedger(ledger *ledgerstore.Store, log *slog.Logger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if ledger == nil {
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), lastWrites)
		defer stop()
		if err := ledger.Close(ctx); err != nil {
			log.Error("ledger", "do", "end", "err", err)
		}
	}()
	return done
}
