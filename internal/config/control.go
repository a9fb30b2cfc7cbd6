package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/limits"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

// Control is the file of one control node, deploy/control.toml or one like it.
type Control struct {
	Name           string   `toml:"name"`
	Zone           string   `toml:"zone"`
	Region         string   `toml:"region"`
	Dir            string   `toml:"dir"`
	Nodes          []string `toml:"nodes"`    // "name=host:port", this one too
	Listen         string   `toml:"listen"`   // for the other nodes and operators; "" = the address in Nodes
	Sessions       string   `toml:"sessions"` // for app servers
	Admin          string   `toml:"admin"`    // "" = none
	CA             string   `toml:"ca"`
	Cert           string   `toml:"cert"`
	Key            string   `toml:"key"`
	MaxSessions    int      `toml:"max_sessions"`
	OpensPerSecond int      `toml:"opens_per_second"`
	OpensBurst     int      `toml:"opens_burst"`
	MaxSnapshots   int      `toml:"max_snapshots"`
	DrainPerSecond int      `toml:"drain_per_second"`
	SilentMs       int      `toml:"silent_ms"`
	MemoryMB       int      `toml:"memory_mb"`

	nodes []controlclient.Node
}

// ControlDefaults returns the settings that a file need not name.
func ControlDefaults() *Control {
	return &Control{MaxSessions: 512, OpensPerSecond: 200, OpensBurst: 200, MaxSnapshots: 16, DrainPerSecond: 100, SilentMs: 3000, MemoryMB: 192}
}

// LoadControl reads the file of a control node.
func LoadControl(path string) (*Control, error) {
	c := ControlDefaults()
	meta, err := toml.DecodeFile(path, c)
	if err == nil {
		if odd := meta.Undecoded(); len(odd) > 0 {
			err = fmt.Errorf("unknown key %s", odd[0])
		} else {
			err = c.check()
		}
	}
	if err != nil { // a TOML error may run over several lines: the first says it
		line, _, _ := strings.Cut(err.Error(), "\n")
		return nil, fmt.Errorf("config: %s: %s", path, line)
	}
	return c, nil
}

func (c *Control) check() (err error) {
	if c.nodes, err = controlclient.ParseNodes("nodes", c.Nodes); err != nil {
		return err
	}
	for _, named := range []struct{ key, value string }{{"name", c.Name}, {"zone", c.Zone}, {"region", c.Region}} {
		if named.value == "" || len(named.value) > limits.MaxName {
			return fmt.Errorf("%s is %.70q, a name of 1 to %d bytes is wanted", named.key, named.value, limits.MaxName)
		}
	}
	own := slices.IndexFunc(c.nodes, func(n controlclient.Node) bool { return n.Name == c.Name })
	switch {
	case c.Dir == "":
		return errors.New("dir is not set: a directory that lasts and is this node's alone")
	case own < 0:
		return fmt.Errorf("nodes does not name %s, this node", c.Name)
	case len(c.nodes)%2 == 0:
		return fmt.Errorf("nodes names %d: 1, 3, 5 or 7, as a majority of them decides", len(c.nodes))
	}
	if c.Listen == "" {
		c.Listen = c.nodes[own].Addr
	}
	if err := c.checkAddrs(); err != nil {
		return err
	}
	return c.checkBounds()
}

// checkAddrs finds addresses that cannot be, or are there twice.
func (c *Control) checkAddrs() error {
	taken := map[string]string{}
	for _, at := range []struct{ key, addr string }{{"listen", c.Listen}, {"sessions", c.Sessions}, {"admin", c.Admin}} {
		if at.addr == "" && at.key == "admin" {
			continue
		}
		if err := controlclient.CheckAddr(at.addr); err != nil {
			return fmt.Errorf("%s: %w", at.key, err)
		}
		if other := taken[at.addr]; other != "" {
			return fmt.Errorf("%s and %s are both %s", other, at.key, at.addr)
		}
		taken[at.addr] = at.key
	}
	outside := append(slices.Clone(c.nodes), controlclient.Node{Addr: c.Listen}, controlclient.Node{Addr: c.Sessions})
	return controlclient.CheckTLS("the node's file", c.Link(), outside)
}

func (c *Control) checkBounds() error {
	for _, bound := range []struct {
		key               string
		value, least, top int
	}{
		{"max_sessions", c.MaxSessions, 1, limits.MaxServers},
		{"opens_per_second", c.OpensPerSecond, 1, 10_000},
		{"opens_burst", c.OpensBurst, 1, 10_000},
		{"max_snapshots", c.MaxSnapshots, 1, limits.MaxServers},
		{"drain_per_second", c.DrainPerSecond, 1, 10_000},
		{"silent_ms", c.SilentMs, 1000, 60_000},
		{"memory_mb", c.MemoryMB, 32, 1 << 16},
	} {
		if bound.value < bound.least || bound.value > bound.top {
			return fmt.Errorf("%s is %d, %d to %d", bound.key, bound.value, bound.least, bound.top)
		}
	}
	return nil
}

// Link returns the options of the way between the nodes, on which operators ask too.
func (c *Control) Link() link.Options {
	out := link.Options{Listen: c.Listen, CA: c.CA, Cert: c.Cert, Key: c.Key}
	for _, node := range c.nodes {
		if node.Name != c.Name {
			out.Servers = append(out.Servers, node.Name+"="+node.Addr)
		}
	}
	return out
}

// Addr returns where a node is reached by the others; "" = there is none of that name.
func (c *Control) Addr(name string) string {
	for _, node := range c.nodes {
		if node.Name == name {
			return node.Addr
		}
	}
	return ""
}

// Names returns the names of all nodes.
func (c *Control) Names() []string {
	out := make([]string, len(c.nodes))
	for i, node := range c.nodes {
		out[i] = node.Name
	}
	return out
}

// Sockets returns how many descriptors the node may take beside those of its runtime.
func (c *Control) Sockets() int {
	way := c.Link()
	return way.Descriptors() + c.MaxSessions + stream.SpareConns + AdminConns + spareSockets
}

// AdminConns is how many connections the admin endpoint of a control node has at a time.
const AdminConns = 32
