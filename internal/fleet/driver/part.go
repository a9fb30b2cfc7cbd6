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

// lockRetryInterval is how often it is tried to lock a directory that another process of the server still has locked.
const lockRetryInterval = 250 * time.Millisecond

// Membership is a server's membership of the fleet over the lifetime of its process, whether there is one or not.
// While the previous process still has the directory locked, as during a replacement, it waits. If the files belong
// to another server, are damaged or are of a newer program, it logs that, and the server serves without a membership.
type Membership struct {
	open    func() (*Driver, error)
	log     *slog.Logger
	current atomic.Pointer[activeDriver]
}

type activeDriver struct {
	driver  *Driver
	handler http.Handler
}

// NewMembership returns a membership that is opened by open.
func NewMembership(open func() (*Driver, error), log *slog.Logger) *Membership {
	return &Membership{open: open, log: log}
}

// Run opens the membership and runs it until the context ends.
func (p *Membership) Run(ctx context.Context) {
	for waiting := false; ; waiting = true {
		d, err := p.open()
		if err == nil {
			p.current.Store(&activeDriver{d, d.Handler()})
			d.Run(ctx)
			return
		}
		if !errors.Is(err, wal.ErrLocked) {
			p.log.Error("fleet", "do", "open", "err", err)
			return
		}
		if !waiting {
			p.log.Info("fleet", "do", "wait", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(lockRetryInterval):
		}
	}
}

// ServeHTTP serves other servers and operators.
func (p *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s := p.current.Load(); s != nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	http.Error(w, notParticipating, http.StatusServiceUnavailable)
}

// Metrics returns the fleet's metrics for the admin endpoint.
func (p *Membership) Metrics() []byte {
	if s := p.current.Load(); s != nil {
		return s.driver.Metrics()
	}
	return []byte("fleet.known=0\n")
}
