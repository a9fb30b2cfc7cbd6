package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"larchscale/internal/export"
	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/replycache"
	"larchscale/internal/ledgerstore"
	"larchscale/internal/peers"
	"larchscale/internal/store"
	"larchscale/internal/uwsgi"
)

// Operator is the operator's own file, deploy/operator.toml or one like it.
type Operator struct {
	UWSGI  uwsgi.Options      `toml:"uwsgi"`
	Store  store.Options      `toml:"store"`
	Ledger Ledger             `toml:"ledger"`
	Fleet  driver.Options     `toml:"fleet"`
	Kept   replycache.Options `toml:"kept"`
	// Control is the session of this server in a fleet with a control tier.
	Control controlclient.Options `toml:"control"`
}

// Ledger is the table of that name.
type Ledger struct {
	ledgerstore.Options
	Collector export.Options `toml:"collector"`
	Peers     peers.Options  `toml:"peers"`
}

// LoadOperator reads the operator's file; without a path nothing is turned on. Of the platform's configuration
// it takes the host that a ":port" stands on.
func LoadOperator(path string, platform *Config) (*Operator, error) {
	o := &Operator{UWSGI: uwsgi.Defaults(), Store: store.Defaults(), Ledger: Ledger{ledgerstore.Defaults(), export.Defaults(), peers.Defaults()}, Fleet: driver.Defaults(), Kept: replycache.Defaults(), Control: controlclient.Defaults()}
	if path == "" {
		return o, nil
	}
	meta, err := toml.DecodeFile(path, o)
	if err == nil {
		if odd := meta.Undecoded(); len(odd) > 0 {
			err = fmt.Errorf("unknown key %s", odd[0])
		} else {
			err = o.check(platform)
		}
	}
	if err != nil { // a TOML error may run over several lines: the first says it
		line, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("config: %s: %s", path, line)
	}
	return o, nil
}

// Fit has the uwsgi front and its calls, where they are on, make do with what limits leave them beside others
// descriptors, and gives how many clients the platform's front may have. Where the operator's file asks for more than
// there is, that front keeps half. Guards against gateways that hold what the links and balancers need; lowered tells
// that the file does not hold.
func (o *Operator) Fit(l *Limits, others int) (conns int, lowered bool) {
	u := &o.UWSGI
	var parts []*int
	if u.Listen != "" {
		parts = append(parts, &u.MaxConns)
	}
	if len(u.DownstreamServers) > 0 {
		parts = append(parts, &u.MaxCalls)
	}
	want := 0
	for _, n := range parts {
		want += *n
	}
	room := l.Sockets - spareSockets - l.Calls - others
	if want > 0 && room-want < leastConns {
		lowered = true
		have := max(0, room-max(leastConns, room/2))
		for _, n := range parts {
			*n = max(1, *n*have/want)
			others += *n
		}
		return l.Conns(others), lowered
	}
	return l.Conns(others + want), lowered
}

func (o *Operator) check(platform *Config) error {
	u := &o.UWSGI
	if strings.HasPrefix(u.Listen, ":") {
		host, _, err := net.SplitHostPort(platform.Listen)
		if err != nil {
			return err
		}
		u.Listen = net.JoinHostPort(host, u.Listen[1:])
	}
	for _, a := range slices.Concat([]string{u.Listen, o.Store.Redis}, u.DownstreamServers, o.Fleet.TrialCalls) {
		if a == "" {
			continue
		}
		if err := checkAddr(a); err != nil {
			return err
		}
	}
	if err := o.checkControl(); err != nil {
		return err
	}
	if err := cmp.Or(o.Ledger.Check(), o.Ledger.Collector.Check(), o.Ledger.Peers.Check(), o.Fleet.Check(), o.Control.Check(), o.Kept.Check(&platform.Site, platform.Limits.KeptBytes())); err != nil {
		return err
	}
	if o.Fleet.TakeOver { // what keys are claimed by does not wait behind what the fleet settles
		o.Ledger.Peers.ConnsPerServer = 2
		if o.Kept.Bytes > 0 { // nor does what homes are asked wait behind claims
			o.Ledger.Peers.ConnsPerServer = 3
		}
	}
	switch {
	case o.Ledger.Collector.URL != "" && o.Ledger.Dir == "":
		return errors.New("ledger.collector needs ledger.dir")
	case o.Ledger.Peers.Listen != "" && o.Ledger.Dir == "" && o.Fleet.Dir == "":
		return errors.New("ledger.peers needs ledger.dir or fleet.dir")
	case o.Fleet.Dir != "" && o.Ledger.Peers.Listen == "":
		return errors.New("fleet.dir needs ledger.peers.listen, the boxes' way to each other")
	case o.Fleet.Dir != "" && o.Fleet.Dir == o.Ledger.Dir:
		return errors.New("fleet.dir is ledger.dir; each needs a directory of its own")
	case o.Fleet.TakeOver && o.Store.Redis != "":
		return errors.New("fleet.take_over and store.redis are two places for the same keys: set one")
	case len(o.Fleet.TrialCalls) > 0 && len(u.DownstreamServers) > 0:
		return errors.New("fleet.trial_calls are places like the platform's index, and uwsgi.below takes its place: set one")
	case !strings.HasPrefix(u.PathPrefix, "/"):
		return errors.New("uwsgi.prefix does not begin with a slash")
	case u.MaxBody < 1 || u.MaxBody > 1<<20:
		return fmt.Errorf("uwsgi.max_body is %d", u.MaxBody)
	case u.MaxConns < 1 || u.MaxConns > 200:
		return fmt.Errorf("uwsgi.max_conns is %d, 1 to 200", u.MaxConns)
	case u.MaxCalls < 1 || u.MaxCalls > 150:
		return fmt.Errorf("uwsgi.max_calls is %d, 1 to 150", u.MaxCalls)
	case u.ReadTimeoutMs < 1 || u.ReadTimeoutMs > 60000:
		return fmt.Errorf("uwsgi.read_ms is %d", u.ReadTimeoutMs)
	case !(u.DefaultMemoryKB > 0 && u.DefaultMemoryKB < 2000):
		return fmt.Errorf("uwsgi.held_kb is %v", u.DefaultMemoryKB)
	case o.Store.TimeoutMs < 1 || o.Store.TimeoutMs > 5000:
		return fmt.Errorf("store.timeout_ms is %d", o.Store.TimeoutMs)
	case len(u.DownstreamServers) > 0 && (u.Vars.Deadline == "" || u.Vars.Token == ""):
		return errors.New("uwsgi.below needs the names of vars.deadline and vars.token")
	}
	return nil
}

// checkControl finds what cannot be beside control nodes: their servers are no members of raft, and what rests on that is
// not carried by them.
func (o *Operator) checkControl() error {
	if !o.Control.On() {
		return nil
	}
	switch {
	case o.Fleet.Dir != "":
		return errors.New("control.nodes and fleet.dir: a server of a fleet with control nodes is no member itself: set one")
	case o.Fleet.TakeOver:
		return errors.New("control.nodes and fleet.take_over: a fleet with control nodes does not take over work yet: set one")
	case len(o.Fleet.TrialCalls) > 0:
		return errors.New("control.nodes and fleet.trial_calls: a fleet with control nodes has no trials yet: set one")
	}
	return nil
}
