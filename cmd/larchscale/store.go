package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"larchscale/internal/fleet/membership"
	"larchscale/internal/store"
)

// openStore opens the store of the keys of keyed requests: the fleet's, a database or files of this host.
func (s *server) openStore(ctx context.Context) error {
	ctx, s.endStore = context.WithCancel(ctx)
	s.onClose(s.endStore)
	switch {
	case s.operator.Fleet.TakeOver:
		s.openFleetStore()
		return nil
	case s.operator.Store.Redis != "":
		s.openRedis(ctx)
		return nil
	default:
		return s.openKeyFiles(ctx)
	}
}

// openFleetStore claims keys in the fleet, and has calls of experiments go where their arm sends them. Nothing of it is
// waited for at shutdown: what the store was asked is replicated before it is given out.
func (s *server) openFleetStore() {
	s.claims = newDesk(s.config, s.operator, s.workers.Cursor, s.core.Send, s.log)
	s.store = s.claims
	s.membership = membership.New(membership.Options{Pool: s.config.Pool, InSync: s.claims.InSync, MaxMoves: maxMoves}, s.changeView, s.log)
	s.experiments = newTrials(s.config, s.operator, s.backend, s.membership, s.core.Send, s.log)
	if len(s.operator.Fleet.TrialCalls) > 0 { // without any, no call goes through them
		s.backend = s.experiments
		s.core.ObserveOutcomes(s.experiments)
	}
}

// changeView tells the parts that keep shards of the fleet which of them are this server's.
func (s *server) changeView(view *membership.View) {
	s.claims.SetView(view)
	if s.replies != nil {
		s.replies.View(view)
	}
}

// openRedis keeps the keys in a Redis database.
func (s *server) openRedis(ctx context.Context) {
	db := store.NewRedis(s.operator.Store, store.NewOwnerID(s.config.Name), s.config.Site.Classes, s.config.Limits.KeyFiles(), s.core.Send, s.log)
	s.store = db
	s.runStore(ctx, db.Run)
}

// openKeyFiles keeps the keys in files. The processes of a replacement share $TMPDIR: a write that ran in one is not run
// by the other.
func (s *server) openKeyFiles(ctx context.Context) error {
	dir := filepath.Join(os.TempDir(), "larchscale-"+s.config.Name+"-keys")
	files, err := store.OpenFiles(dir, store.NewOwnerID(s.config.Name), s.config.Site.Classes, s.config.Limits.KeyFiles(), s.core.Send, s.log)
	if err != nil {
		return err
	}
	s.store = files
	s.runStore(ctx, files.Run)
	return nil
}

// runStore runs the store in the background; storeEnded is closed once it has done all that it was asked.
func (s *server) runStore(ctx context.Context, work func(context.Context)) {
	ended := make(chan struct{})
	s.storeEnded = ended
	go func() {
		defer close(ended)
		work(ctx)
	}()
}

// awaitStore waits for the store's last writes, at most until the deadline: the end of the last run is shared, as the
// next process may be asked for it.
func (s *server) awaitStore(deadline <-chan time.Time) {
	if s.storeEnded == nil {
		return
	}
	select {
	case <-s.storeEnded:
		return
	case <-deadline:
	}
	select { // it may be done all the same
	case <-s.storeEnded:
	default:
		s.log.Warn("store", "do", "end", "err", "not done in time")
	}
}
