package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"larchscale/internal/admin"
	"larchscale/internal/config"
	"larchscale/internal/core"
	"larchscale/internal/directory"
	"larchscale/internal/fleet/claimstore"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/fleet/replycache"
	"larchscale/internal/fleet/trials"
	"larchscale/internal/handoff"
	"larchscale/internal/index"
	"larchscale/internal/jsonrpc"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/pool"
	"larchscale/internal/sock"
	"larchscale/internal/uwsgi"
)

const (
	// lastWrites bounds the time that shutdown gives to each of the ledger and the store to write what is left.
	lastWrites = 60 * time.Millisecond
	// lastAnswers bounds the time that it gives to the fronts, to read and refuse what has come: on a busy machine that
	// takes a while.
	lastAnswers = 100 * time.Millisecond
)

// server is one app server: its settings, and its parts in the order in which start makes them.
type server struct {
	configPath string // of the platform's file, which a reload reads again
	config     *config.Config
	operator   *config.Operator
	ledger     *ledgerstore.Store // nil = the server keeps none
	signals    signals
	log        *slog.Logger

	stop    context.CancelFunc // ends the work that lasts as long as the server
	closers []func()           // what close runs, newest first

	startFile     *handoff.StartFile // nil = it cannot be claimed
	listeners     []net.Listener     // of the fronts
	adminListener net.Listener       // nil = there is no admin endpoint
	maxConns      int                // connections that the JSON-RPC front may have

	core      *core.Core
	workers   *pool.Link
	directory *directory.Client

	index   *index.Client
	backend core.Downstream   // what calls of requests go through: the index or uwsgi, behind the reply cache and experiments
	replies *replycache.Cache // the reply cache; nil = off

	store      core.Store
	endStore   context.CancelFunc // has the store do what it was asked and end
	storeEnded <-chan struct{}    // closed once it has; nil = it is not waited for

	claims      *claimstore.Store // these three are nil unless the fleet takes over keyed requests
	membership  *membership.State //
	experiments *trials.Trials    //

	holder  *admin.HealthHolder
	metrics func() []byte // of the fleet and the reply cache, beside the core's; nil = none
	fronts  sock.Servers
}

// serve starts the server and returns when the core has answered all requests after SIGTERM, and the last writes are
// done. It returns an error if the start fails.
func (s *server) serve() error {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.onClose(stop)
	defer s.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	s.core.Run(ctx)
	s.shutdown()
	return nil
}

// start makes the parts and connects them, one after the other. Each step relies on those before it.
func (s *server) start(ctx context.Context) error {
	s.claimStartFile()
	if err := s.openListeners(); err != nil {
		return err
	}
	s.fitDescriptors()
	s.newCore()
	if err := s.newBackend(); err != nil {
		return err
	}
	if err := s.openStore(ctx); err != nil {
		return err
	}
	s.core.Attach(s.workers, s.backend, s.directory, s.store)
	if err := s.startLedger(ctx); err != nil {
		return err
	}
	s.newHolder()
	if err := s.joinFleet(ctx); err != nil {
		return err
	}
	if err := s.joinControlTier(ctx); err != nil {
		return err
	}
	s.startReplyCache(ctx)
	if err := s.serveFronts(); err != nil {
		return err
	}
	s.serveAdmin()
	go s.workers.Maintain(ctx)
	go s.directory.Run(ctx)
	go s.awaitLeave()
	go s.awaitReloads()
	s.log.Info("started", "listen", s.config.Listen, "uwsgi", s.operator.UWSGI.Listen, "store", s.operator.Store.Redis, "ledger", s.operator.Ledger.Dir)
	return nil
}

// shutdown writes what is left once the core has ended: of the store, the ledger and the fronts, all at the same time.
func (s *server) shutdown() {
	s.endStore()
	deadline := time.After(lastWrites)
	ledgerClosed := closeLedger(s.ledger, s.log)
	s.fronts.Stop(lastAnswers)
	<-ledgerClosed
	s.awaitStore(deadline)
	s.log.Info("stopped")
}

// onClose has close run f, before what it was given earlier.
func (s *server) onClose(f func()) { s.closers = append(s.closers, f) }

// close ends what start began, newest first, also of a start that failed halfway.
func (s *server) close() {
	for _, f := range slices.Backward(s.closers) {
		f()
	}
}

// openListeners binds the addresses of the JSON-RPC front and of the admin endpoint. Nothing is accepted yet.
func (s *server) openListeners() error {
	listener, err := sock.Listen(s.config.Listen)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, listener)
	if s.config.Admin == "" {
		return nil
	}
	s.adminListener, err = sock.RetryListen(func() (net.Listener, error) { return net.Listen("tcp4", s.config.Admin) })
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// fitDescriptors shares out the descriptors that the process may have among the fronts and the calls.
func (s *server) fitDescriptors() {
	limits := &s.config.Limits
	others := s.operator.Ledger.Peers.Descriptors() + len(s.operator.Fleet.TrialCalls)*limits.Calls
	if s.adminListener != nil {
		others += admin.MaxConns
	}
	if s.operator.Control.On() {
		others += controlclient.Sockets
	}
	conns, lowered := s.operator.Fit(limits, others)
	if lowered {
		s.log.Warn("few descriptors", "sockets", limits.Sockets, "max_conns", s.operator.UWSGI.MaxConns, "max_calls", s.operator.UWSGI.MaxCalls)
	}
	s.maxConns = conns
	s.config.SetConns(conns)
}

// newCore makes the core, and its links to the worker pool and the directory.
func (s *server) newCore() {
	site := s.config.Site
	site.StopTime = handoff.EarliestKill(site.StopTime, s.deadlines())
	s.core = core.New(site, s.log)
	s.workers = pool.New(s.config.Pool, s.core.Send, s.log)
	s.directory = directory.New(s.config.Lookup, s.config.Name, s.log)
}

// newBackend makes what calls of requests go through: the index or a uwsgi server, behind the reply cache if it is on.
func (s *server) newBackend() (err error) {
	ended := s.core.Send
	if s.replies, err = newReplyCache(s.config, s.operator, s.core.Send, s.log); err != nil {
		return err
	}
	if s.replies != nil {
		ended = s.replies.Ended
	}
	s.index = index.New(s.config.Index, s.config.Limits.Calls, ended, s.log)
	s.backend = s.index
	if len(s.operator.UWSGI.DownstreamServers) > 0 {
		s.backend = uwsgi.NewClient(s.operator.UWSGI, ended)
	}
	if s.replies != nil {
		s.replies.Attach(s.backend)
		s.backend = s.replies
	}
	return nil
}

// newHolder makes what holds requests back on an order of the admin endpoint or of the fleet.
func (s *server) newHolder() {
	s.holder = admin.NewHealthHolder(s.core.Send)
	s.onClose(s.holder.Close)
}

// startReplyCache runs the reply cache, if it is on.
func (s *server) startReplyCache(ctx context.Context) {
	if s.replies == nil {
		return
	}
	go s.replies.Run(ctx)
	s.metrics = joinMetrics(s.metrics, s.replies.Lines)
}

// serveFronts accepts callers at the JSON-RPC front and, if it is on, the uwsgi front.
func (s *server) serveFronts() error {
	site, limits := &s.config.Site, &s.config.Limits // each front has a budget of its own
	s.fronts = sock.Servers{sock.NewServer(s.listeners[0], s.maxConns, limits.Budget(), jsonrpc.New(site, s.core, s.log).Handle)}
	if s.operator.UWSGI.Listen != "" {
		listener, err := sock.Listen(s.operator.UWSGI.Listen)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, listener)
		front := uwsgi.New(s.operator.UWSGI, site, s.core, s.log)
		s.fronts = append(s.fronts, sock.NewServer(listener, s.operator.UWSGI.MaxConns, limits.Budget(), front.Handle))
	}
	s.core.AttachListener(s.fronts)
	for _, front := range s.fronts {
		go front.Serve()
	}
	return nil
}

// serveAdmin serves the admin endpoint, if there is one.
func (s *server) serveAdmin() {
	if s.adminListener == nil {
		return
	}
	endpoint := admin.New(s.config.Site.Classes, s.core.Metrics, s.holder, s.log)
	endpoint.AppendMetrics(s.metrics)
	go endpoint.Serve(s.adminListener)
	s.onClose(func() { endpoint.Close() })
}

// awaitReloads moves the links to the addresses that the platform's file has at each SIGHUP; all else stays as it is.
func (s *server) awaitReloads() {
	for range s.signals.reload {
		s.reload()
	}
}

// reload reads the platform's file again. A file that cannot be read changes nothing.
func (s *server) reload() {
	next, err := s.config.Reload(s.configPath)
	if err != nil {
		s.log.Error("reload", "err", err)
		return
	}
	s.workers.Move(next.Pool)
	s.index.Move(next.Index)
	s.directory.Move(next.Lookup)
	s.log.Info("reloaded", "pool", next.Pool, "index", next.Index, "lookup", next.Lookup)
}
