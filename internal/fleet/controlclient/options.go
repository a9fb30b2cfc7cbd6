// Package controlclient is an app server's part in a fleet with a control tier: its session to one control node, its lease,
// its copy of the configuration, and its own phase when it is taken out for maintenance. It carries out package session on
// a goroutine of its own. The server serves on whatever becomes of it.
package controlclient

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"larchscale/internal/fleet/limits"
	"larchscale/internal/link"
)

// Options are the operator's table [control].
type Options struct {
	Nodes   []string `toml:"nodes"` // "name=host:port", where each control node accepts sessions; none = off
	Zone    string   `toml:"zone"`  // the server's
	DrainMs int      `toml:"drain_ms"`
	CA      string   `toml:"ca"`
	Cert    string   `toml:"cert"`
	Key     string   `toml:"key"`
}

// Sockets is how many descriptors a session takes: its connection, and one that is being made.
const Sockets = 2

// Defaults returns the options that a file need not name.
func Defaults() Options { return Options{Nodes: []string{}, DrainMs: 5000} }

// On reports whether there is a control tier.
func (o *Options) On() bool { return len(o.Nodes) > 0 }

// Check finds what cannot be.
func (o *Options) Check() error {
	if !o.On() {
		if o.Zone+o.CA+o.Cert+o.Key != "" {
			return errors.New("control: zone, ca, cert and key need control.nodes")
		}
		return nil
	}
	nodes, err := ParseNodes("control.nodes", o.Nodes)
	if err != nil {
		return err
	}
	switch {
	case o.Zone == "" || len(o.Zone) > limits.MaxName:
		return fmt.Errorf("control.nodes needs control.zone, of 1 to %d bytes", limits.MaxName)
	case o.DrainMs < 0 || o.DrainMs > 600_000:
		return fmt.Errorf("control.drain_ms is %d, 0 to 600000", o.DrainMs)
	}
	return CheckTLS("control", o.link(), nodes)
}

func (o *Options) link() link.Options { return link.Options{CA: o.CA, Cert: o.Cert, Key: o.Key} }

// TLS returns the configuration of sessions; nil = without, on loopback.
func (o *Options) TLS() (*tls.Config, error) {
	way := o.link()
	return way.TLS()
}

// Node is a control node as a file names it.
type Node struct{ Name, Addr string }

// ParseNodes reads a list of control nodes. No two have one name or one address.
func ParseNodes(key string, list []string) ([]Node, error) {
	if len(list) > limits.MaxControlNodes {
		return nil, fmt.Errorf("%s: %d nodes, %d at most", key, len(list), limits.MaxControlNodes)
	}
	names, addrs := map[string]bool{}, map[string]string{}
	nodes := make([]Node, 0, len(list))
	for _, item := range list {
		name, addr, ok := strings.Cut(item, "=")
		if !ok || name == "" || len(name) > limits.MaxName {
			return nil, fmt.Errorf("%s: %q is no name=host:port", key, item)
		}
		if err := CheckAddr(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		if names[name] {
			return nil, fmt.Errorf("%s: %s is there twice", key, name)
		}
		if other := addrs[addr]; other != "" {
			return nil, fmt.Errorf("%s: %s and %s have one address, %s", key, other, name, addr)
		}
		names[name], addrs[addr] = true, name
		nodes = append(nodes, Node{name, addr})
	}
	return nodes, nil
}

// CheckAddr finds what is no IP address with a port.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	number, bad := strconv.ParseUint(port, 10, 16)
	if err != nil || bad != nil || number == 0 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no address", addr)
	}
	return nil
}

// CheckTLS finds certificates that are missing or cannot be read: without, nothing leaves the machine.
func CheckTLS(table string, way link.Options, nodes []Node) error {
	switch set := way.CA != "" && way.Cert != "" && way.Key != ""; {
	case set:
		if _, err := way.TLS(); err != nil {
			return fmt.Errorf("%s.%w", table, err)
		}
		return nil
	case way.CA+way.Cert+way.Key != "":
		return fmt.Errorf("%s: ca, cert and key go together", table)
	}
	for _, node := range nodes {
		host, _, _ := net.SplitHostPort(node.Addr)
		if !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("%s: only mutual TLS leaves the machine: set ca, cert and key", table)
		}
	}
	return nil
}
