package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"larchscale/internal/config"
	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

const (
	// drainWithin is how long sessions may take to move to other nodes once the process is to end.
	drainWithin = 20 * time.Second
	// handOverWithin is how long another node may take to lead before the sessions move all the same.
	handOverWithin = 3 * time.Second
	// adminWithin bounds a request to the admin endpoint.
	adminWithin = time.Second
	maxHead     = 4 << 10
)

// controlNode is the parts of the process.
type controlNode struct {
	settings *config.Control
	log      *slog.Logger
	way      *link.Link
	node     *controlnode.Node
	driver   *driver.Driver
	meter    stream.Meter // of sessions
	between  linkMeter    // of the way to other nodes and operators
}

// serve runs the node until a signal, and until its sessions have moved to other nodes.
func serve(settings *config.Control, leave <-chan os.Signal, log *slog.Logger) error {
	n, err := newControlNode(settings, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.driver.Run(ctx)
	}()
	if err := n.listen(ctx); err != nil {
		stop()
		<-ended
		return err
	}
	log.Info("started", "listen", settings.Listen, "sessions", settings.Sessions, "admin", settings.Admin)
	select {
	case <-leave:
		n.handOver(ctx)
		n.drain()
		stop()
		<-ended
		log.Info("stopped")
		return nil
	case <-ended:
		return fmt.Errorf("%s takes no part in the fleet any longer: its log tells why", settings.Name)
	}
}

func newControlNode(settings *config.Control, log *slog.Logger) (*controlNode, error) {
	options := settings.Link()
	way, err := link.New(options, log)
	if err != nil {
		return nil, err
	}
	node := controlnode.New(controlnode.Options{Name: settings.Name, Region: settings.Region, Members: settings.Names(), MaxSessions: settings.MaxSessions,
		OpensPerSecond: settings.OpensPerSecond, OpensBurst: settings.OpensBurst, MaxSnapshots: settings.MaxSnapshots, DrainPerSecond: settings.DrainPerSecond}, log)
	part := driver.Defaults()
	part.Dir, part.Zone, part.SilentMs = settings.Dir, settings.Zone, settings.SilentMs
	part.Voters, part.Members = len(settings.Nodes), settings.Names()
	d, err := driver.New(part, settings.Name, settings.Addr(settings.Name), options.Peers(), way, node, log, node.Modules()...)
	if err != nil {
		return nil, err
	}
	n := &controlNode{settings: settings, log: log, way: way, node: node, driver: d}
	way.Observe(n.between.observer())
	return n, nil
}

// listen opens all ports and serves them until the context ends.
func (n *controlNode) listen(ctx context.Context) error {
	nodes, err := n.way.Listen()
	if err != nil {
		return err
	}
	go n.way.Serve(ctx, nodes, controlnode.Guard(n.settings.Names(), n.driver.Handler()))
	options := n.settings.Link()
	certificates, err := options.TLS()
	if err != nil {
		return err
	}
	servers, err := net.Listen("tcp", n.settings.Sessions)
	if err != nil {
		return fmt.Errorf("sessions: %w", err)
	}
	accept := &stream.Server{TLS: certificates, ReadTimeout: session.SessionTimeout, MaxSessions: n.settings.MaxSessions, Meter: &n.meter, Log: n.log, Accept: n.node.Accept}
	go accept.Serve(ctx, servers)
	if n.settings.Admin == "" {
		return nil
	}
	admin, err := net.Listen("tcp", n.settings.Admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	go n.serveAdmin(ctx, admin)
	return nil
}

// serveAdmin answers GET /stats and /healthcheck.
func (n *controlNode) serveAdmin(ctx context.Context, in net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(n.driver.Metrics())
		w.Write(n.meter.Metrics())
		w.Write(n.between.metrics())
	})
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminWithin, ReadTimeout: adminWithin, WriteTimeout: adminWithin, IdleTimeout: adminWithin,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	server.Serve(link.LimitListener(in, config.AdminConns))
}

// handOver has another node lead, if this one does: an election costs a second without a leader.
func (n *controlNode) handOver(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, handOverWithin)
	defer stop()
	if err := n.driver.TransferLeadership(ctx); err != nil {
		n.log.Warn("handing over", "err", err)
	}
}

// drain has all sessions move to other nodes.
func (n *controlNode) drain() {
	n.log.Info("draining")
	late := time.NewTimer(drainWithin)
	defer late.Stop()
	select {
	case <-n.node.Drain():
	case <-late.C:
		n.log.Warn("draining", "err", "not all sessions have moved in time")
	}
}
