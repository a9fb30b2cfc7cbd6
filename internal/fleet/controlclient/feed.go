package controlclient

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"larchscale/internal/fleet/watch"
)

// feed brings changes of the configuration to who puts them in force, on a goroutine of its own. Of changes that wait it
// keeps the newest of each key, so that it holds no more than a copy of the configuration.
type feed struct {
	configure func(uint64, []watch.Update)
	wake      chan struct{} // has room for one

	mu       sync.Mutex
	revision uint64 // 0 = nothing waits
	changed  map[string]watch.Update
}

func newFeed(configure func(uint64, []watch.Update)) *feed {
	return &feed{configure: configure, wake: make(chan struct{}, 1), changed: map[string]watch.Update{}}
}

// put adds changes, as of a revision.
func (f *feed) put(revision uint64, changed []watch.Update) {
	f.mu.Lock()
	f.revision = revision
	for _, update := range changed {
		f.changed[update.Key] = update
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// next returns what waits, in the order of revisions.
func (f *feed) next() (uint64, []watch.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.revision
	changed := make([]watch.Update, 0, len(f.changed))
	for _, update := range f.changed {
		changed = append(changed, update)
	}
	f.revision = 0
	clear(f.changed)
	slices.SortFunc(changed, func(a, b watch.Update) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return revision, changed
}

// run brings changes until the context ends.
func (f *feed) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		if revision, changed := f.next(); revision != 0 {
			f.configure(revision, changed)
		}
	}
}
