package main

import (
	"context"

	"larchscale/internal/core"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/watch"
)

// joinControlTier keeps a session to a control node of the fleet, if the operator names any. close waits for its end.
func (s *server) joinControlTier(ctx context.Context) error {
	if !s.operator.Control.On() {
		return nil
	}
	client, err := controlclient.New(s.operator.Control, controlclient.Server{
		Name:      s.config.Name,
		Pool:      s.config.Pool,
		Body:      &body{figures: s.core.Metrics, holder: s.holder, guess: guess(s.config)},
		Applied:   func() uint64 { return s.core.Metrics().ConfigurationRevision },
		Configure: func(revision uint64, _ []watch.Update) { s.core.Send(core.ConfigurationApplied{Revision: revision}) },
	}, s.log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	s.metrics = joinMetrics(s.metrics, client.Metrics)
	s.onClose(func() { <-ended })
	s.onClose(s.stop)
	return nil
}
