package store

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"larchscale/internal/core"
	"larchscale/internal/scenario"
	"larchscale/internal/standin/keystore"
)

// Guards against a store that stands still and fills the memory with results that wait to be stored, of whatever size. Once
// they are stored or given up they count no longer.
func TestWaitingResultsAreBoundedByBytes(t *testing.T) {
	const (
		resultBytes = 20_000
		room        = 3
		limit       = room*resultBytes + resultBytes/2
	)
	backend := scenario.Listen(t)
	go keystore.New().Serve(backend.Listener())
	options := Defaults()
	options.Redis, options.TimeoutMs = backend.Addr, 10_000
	log, sink := slog.New(slog.DiscardHandler), func(core.Event) {}
	files, err := OpenFiles(t.TempDir(), "n1", []string{"book"}, limit, sink, log)
	if err != nil {
		t.Fatal(err)
	}
	database := NewRedis(options, "n1", []string{"book"}, limit, sink, log)
	for name, c := range map[string]struct {
		store interface {
			core.Store
			Run(context.Context)
		}
		waiting *byteBudget
	}{"files": {files, &files.waiting}, "redis": {database, &database.waiting}} {
		for i := range 10 * room {
			c.store.Finish(core.Key{Token: string(rune('a' + i))}, claimID, [32]byte{}, true, make([]byte, resultBytes), time.Minute)
		}
		if used := c.waiting.used.Load(); used < room*resultBytes || used > limit {
			t.Errorf("%s: %d bytes wait, at most %d are allowed", name, used, limit)
		}
		ended, end := context.WithCancel(t.Context())
		end()
		c.store.Run(ended)
		if used := c.waiting.used.Load(); used != 0 {
			t.Errorf("%s: %d bytes still count", name, used)
		}
	}
}
