// Package hollow runs app servers without their request path: the fleet's driver with its log, link and leases is the
// real one, on real timers and real connections, and only driver.Process is a stub. Many of them share a process.
package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/membership"
	"larchscale/internal/fleet/placement"
	"larchscale/internal/link"
	"larchscale/internal/measure/certificates"
	"larchscale/internal/measure/traffic"
)

// moves bounds the slices that move at a time, as the app server does.
const moves = placement.Shards / 8

// Config is what one hollow server is made of.
type Config struct {
	Name         string
	Zone         string
	Directory    string // of its log
	Certificates certificates.Files
	Voters       int
	Leases       bool // it runs the modules of leases and placement
}

// Server is one hollow server.
type Server struct {
	config   Config
	counter  *traffic.Counter
	listener net.Listener
	link     *link.Link
	driver   *driver.Driver
	stop     context.CancelFunc
	ended    chan struct{}
}

// stub is an app server that is warm and idle.
type stub struct{}

// Report implements driver.Process.
func (stub) Report() maintenance.Report {
	return maintenance.Report{Warm: true, Capacity: 100, Load: 30}
}

// HoldHealth implements driver.Process.
func (stub) HoldHealth(bool) {}

// Listen opens a server's port, on any free one of the loopback interface.
func Listen(config Config, counter *traffic.Counter) (*Server, error) {
	s := &Server{config: config, counter: counter}
	front, err := s.newLink(link.Options{Listen: "127.0.0.1:0"})
	if err != nil {
		return nil, err
	}
	if s.listener, err = front.Listen(); err != nil {
		return nil, fmt.Errorf("hollow server %s: %w", config.Name, err)
	}
	return s, nil
}

func (s *Server) newLink(options link.Options) (*link.Link, error) {
	files := s.config.Certificates
	options.CA, options.Cert, options.Key = files.CA, files.Certificate, files.Key
	l, err := link.New(options, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, fmt.Errorf("hollow server %s: %w", s.config.Name, err)
	}
	l.Observe(s.counter.Observer())
	return l, nil
}

// Address is where the others reach it.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start runs the server's part in the fleet until Stop; addresses are those of all servers, by name. It asks those in
// doors to be let in.
func (s *Server) Start(addresses map[string]string, doors []string) error {
	options := link.Options{Listen: s.Address()}
	var others []link.Peer
	for name, address := range addresses {
		if name == s.config.Name {
			continue
		}
		options.Servers = append(options.Servers, name+"="+address)
		if slices.Contains(doors, name) {
			others = append(others, link.Peer{Name: name, Addr: address})
		}
	}
	if err := options.Check("link"); err != nil {
		return err
	}
	var err error
	if s.link, err = s.newLink(options); err != nil {
		return err
	}
	quiet := slog.New(slog.DiscardHandler)
	var modules []driver.Module
	if s.config.Leases {
		modules = membership.New(membership.Options{MaxMoves: moves}, func(*membership.View) {}, quiet).Modules()
	}
	fleet := driver.Defaults()
	fleet.Dir, fleet.Zone, fleet.Voters = filepath.Join(s.config.Directory, s.config.Name), s.config.Zone, s.config.Voters
	if s.driver, err = driver.New(fleet, s.config.Name, s.Address(), others, s.link, stub{}, quiet, modules...); err != nil {
		return fmt.Errorf("hollow server %s: %w", s.config.Name, err)
	}
	s.run()
	return nil
}

func (s *Server) run() {
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.ended = stop, make(chan struct{})
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.link.Serve(ctx, s.listener, s.counter.Handler(s.driver.Handler()))
	}()
	go func() {
		defer close(s.ended)
		s.driver.Run(ctx)
		<-served
	}()
}

// Stop ends the server and waits until it has.
func (s *Server) Stop() {
	if s.stop == nil {
		s.listener.Close()
		return
	}
	s.stop()
	<-s.ended
}

// Found begins a fleet with this server.
func (s *Server) Found() error { return s.command(driver.Command{Found: true}) }

// ErrRefused is an entry that was agreed and had no effect.
var ErrRefused = errors.New("refused")

// Commit has an entry committed that changes nothing: a pause of a plan that does not exist.
func (s *Server) Commit() error {
	err := s.command(driver.Command{Entry: maintenance.Entry{Kind: maintenance.Pause, Plan: maintenance.Plan{ID: "none"}}})
	if errors.Is(err, ErrRefused) {
		return nil
	}
	return errors.Join(err, errors.New("a plan that does not exist was paused"))
}

// command gives the server an operator's word without a connection.
func (s *Server) command(word driver.Command) error {
	body, err := json.Marshal(word)
	if err != nil {
		return fmt.Errorf("hollow server: %w", err)
	}
	var answer driver.CommandResult
	if err := s.ask(http.MethodPost, "/fleet/command", body, &answer); err != nil {
		return err
	}
	if answer.Error != "" {
		return fmt.Errorf("%s: %w", answer.Error, ErrRefused)
	}
	return nil
}

// Status is how the fleet stands, as the server sees it.
func (s *Server) Status() (status driver.Status, err error) {
	err = s.ask(http.MethodGet, "/fleet/state", nil, &status)
	return status, err
}

func (s *Server) ask(method, path string, body []byte, out any) error {
	answer := httptest.NewRecorder()
	s.driver.Handler().ServeHTTP(answer, httptest.NewRequest(method, path, bytes.NewReader(body)))
	if answer.Code != http.StatusOK {
		return fmt.Errorf("hollow server %s: %s: status %d", s.config.Name, path, answer.Code)
	}
	return json.Unmarshal(answer.Body.Bytes(), out)
}

// metrics are those of the server's part in the fleet, by name.
func (s *Server) metrics() map[string]uint64 {
	out := map[string]uint64{}
	for line := range strings.Lines(string(s.driver.Metrics())) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if n, err := strconv.ParseUint(value, 10, 64); err == nil {
			out[name] = n
		}
	}
	return out
}
