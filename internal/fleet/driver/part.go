package driver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"larchscale/internal/wal"
)

// lockEach is how often a directory is asked for that another process of the box still has.
const lockEach = 250 * time.Millisecond

// Part is a box's part in the fleet over the life of its process, whether it has one or not. While the process before
// it still has the directory, as in a replacement, it waits for it; with files that are another box's, damaged or a
// newer program's it takes no part, says so, and the box serves on.
type Part struct {
	open    func() (*Driver, error)
	log     *slog.Logger
	current atomic.Pointer[served]
}

type served struct {
	driver  *Driver
	handler http.Handler
}

// NewPart makes a part that open opens.
func NewPart(open func() (*Driver, error), log *slog.Logger) *Part {
	return &Part{open: open, log: log}
}

// Run opens the part and runs it, until ctx ends.
func (p *Part) Run(ctx context.Context) {
	for waits := false; ; waits = true {
		d, err := p.open()
		if err == nil {
			p.current.Store(&served{d, d.Handler()})
			d.Run(ctx)
			return
		}
		if !errors.Is(err, wal.ErrLocked) {
			p.log.Error("fleet", "do", "open", "err", err)
			return
		}
		if !waits {
			p.log.Info("fleet", "do", "wait", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(lockEach):
		}
	}
}

// ServeHTTP serves other boxes and operators.
func (p *Part) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s := p.current.Load(); s != nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	http.Error(w, noPart, http.StatusServiceUnavailable)
}

// Lines are the figures of the fleet for the door.
func (p *Part) Lines() []byte {
	if s := p.current.Load(); s != nil {
		return s.driver.Lines()
	}
	return []byte("fleet.known=0\n")
}
