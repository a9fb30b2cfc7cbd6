package standin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/link"
	"larchscale/internal/standin/faultnet"
)

// BuildControl builds the real program of control nodes into dir.
func BuildControl(dir string) (program string, err error) {
	program = filepath.Join(dir, "larchcontrol")
	if out, err := exec.Command("go", "build", "-o", program, "larchscale/cmd/larchcontrol").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}

// WithPrograms runs a package's tests with the real programs of servers and control nodes built once for them, and returns
// the exit code.
func WithPrograms(server, control *string, tests func() int) int {
	return WithProgram(server, func() (code int) {
		var err error
		if *control, err = BuildControl(filepath.Dir(*server)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return tests()
	})
}

// TierOptions say what a control tier of real processes is made of.
type TierOptions struct {
	Nodes, Servers int
	DrainMs        int    // of the servers
	Certs          string // a directory with ca.crt, and NAME.crt and NAME.key of each node, each server and of ops; "" = without
	Relays         bool   // what one process asks another passes a relay of Tier.Net; operators reach each directly
	TwoRegions     bool   // the smaller half of the nodes, and half of the servers, are in South
}

// The regions of a tier; without TwoRegions all is in North.
const (
	North = "north"
	South = "south"
)

// Tier is a control tier of real processes, and its app servers.
type Tier struct {
	Net     *faultnet.Net // nil = without relays
	Nodes   []*ControlNode
	Servers []*TierServer
}

// ControlNode is one control node on files that outlive its processes.
type ControlNode struct {
	Name, Admin string
	Region      string
	addr        string // for operators
	sessions    string // for app servers
	program     string
	file        string
	dir         string       // of its log
	way         link.Options // of operators
	cmd         *exec.Cmd
	ended       chan struct{} // closed once the process has ended; nil = it was never started
	log         *tail
}

// TierServer is one app server.
type TierServer struct {
	*Box
	Zone, Region string
	Site         *Site
}

// NewTier starts all processes of a control tier under home, and has the first node found the fleet.
func NewTier(server, control, home string, o TierOptions) (*Tier, error) {
	t := &Tier{}
	if o.Relays {
		t.Net = faultnet.New()
	}
	if err := t.start(server, control, home, o); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Tier) start(server, control, home string, o TierOptions) error {
	for i := range o.Nodes {
		n, err := newControlNode(control, fmt.Sprint("c", i+1))
		if err != nil {
			return err
		}
		t.Nodes = append(t.Nodes, n)
	}
	for i, n := range t.Nodes {
		n.Region = o.region(i, len(t.Nodes))
		nodes, err := t.list(n.Name, func(n *ControlNode) string { return n.addr })
		if err != nil {
			return err
		}
		if err := n.write(filepath.Join(home, n.Name), zone(i), quoted(nodes), o.Certs); err != nil {
			return err
		}
	}
	if err := each(t.Nodes, (*ControlNode).Start); err != nil {
		return err
	}
	first := t.Nodes[0]
	if err := Until("the fleet is founded", 10*time.Second, func() bool { return first.Say(driver.Command{Found: true}) == nil }); err != nil {
		return err
	}
	for i := range o.Servers {
		s := &TierServer{Zone: zone(i), Region: o.region(i, o.Servers)}
		name := fmt.Sprint("app-", i+1)
		nodes, err := t.SessionNodes(name)
		if err != nil {
			return err
		}
		if s.Site, err = NewSite(time.Millisecond); err != nil {
			return err
		}
		operator := fmt.Sprintf("[control]\nnodes = [%s]\nzone = %q\ndrain_ms = %d\n%s", quoted(nodes), s.Zone, o.DrainMs, certificates(o.Certs, name))
		if s.Box, err = NewBox(server, filepath.Join(home, name), name, s.Site, operator); err != nil {
			return err
		}
		t.Servers = append(t.Servers, s)
	}
	return each(t.Servers, func(s *TierServer) error { return s.Start() })
}

// each calls a function for all items at once.
func each[T any](items []T, do func(T) error) error {
	errs := make([]error, len(items))
	var all sync.WaitGroup
	for i, item := range items {
		all.Go(func() { errs[i] = do(item) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// zone is that of the i-th node or server.
func zone(i int) string { return string(rune('a' + i%3)) }

// region is that of the i-th of so many nodes or servers.
func (o *TierOptions) region(i, of int) string {
	if o.TwoRegions && i >= (of+1)/2 {
		return South
	}
	return North
}

// SessionNodes returns the nodes where an app server of a name opens sessions, as its file has them.
func (t *Tier) SessionNodes(server string) ([]string, error) {
	return t.list(server, func(n *ControlNode) string { return n.sessions })
}

// list returns the nodes as the file of a process has them: with relays, each but itself behind one of its own.
func (t *Tier) list(from string, addr func(*ControlNode) string) ([]string, error) {
	var items []string
	for _, n := range t.Nodes {
		at := addr(n)
		if t.Net != nil && n.Name != from {
			var err error
			if at, err = t.Net.Relay(from, n.Name, at); err != nil {
				return nil, err
			}
		}
		items = append(items, n.Name+"="+at)
	}
	return items, nil
}

// quoted returns texts as the items of a TOML array.
func quoted(items []string) string {
	var out []string
	for _, item := range items {
		out = append(out, fmt.Sprintf("%q", item))
	}
	return strings.Join(out, ", ")
}

// certificates returns the keys of a file that name certificates.
func certificates(dir, name string) string {
	if dir == "" {
		return ""
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	return fmt.Sprintf("ca = %q\ncert = %q\nkey = %q\n", file("ca.crt"), file(name+".crt"), file(name+".key"))
}

// Close ends all processes.
func (t *Tier) Close() {
	for _, s := range t.Servers {
		if s.Box != nil && s.ended != nil {
			s.Kill()
		}
		s.Site.Close()
	}
	for _, n := range t.Nodes {
		n.Kill()
	}
	if t.Net != nil {
		t.Net.Close()
	}
}

// Leader returns the node that leads as it says itself; nil = none does.
func (t *Tier) Leader() *ControlNode {
	for _, n := range t.Nodes {
		if n.Stats()["fleet.leader"] == 1 {
			return n
		}
	}
	return nil
}

func newControlNode(program, name string) (n *ControlNode, err error) {
	n = &ControlNode{Name: name, program: program, log: &tail{}}
	for _, addr := range []*string{&n.addr, &n.sessions, &n.Admin} {
		if *addr, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// write writes the node's file.
func (n *ControlNode) write(home, zone, nodes, certs string) error {
	if err := os.MkdirAll(home, 0o700); err != nil {
		return err
	}
	if certs != "" {
		file := func(name string) string { return filepath.Join(certs, name) }
		n.way = link.Options{CA: file("ca.crt"), Cert: file("ops.crt"), Key: file("ops.key")}
	}
	n.file, n.dir = filepath.Join(home, "control.toml"), filepath.Join(home, "log")
	text := fmt.Sprintf("name = %q\nzone = %q\nregion = %q\ndir = %q\nlisten = %q\nsessions = %q\nadmin = %q\nnodes = [%s]\n%s",
		n.Name, zone, n.Region, n.dir, n.addr, n.sessions, n.Admin, nodes, certificates(certs, n.Name))
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// File is the path of the node's file.
func (n *ControlNode) File() string { return n.file }

// Start starts the process, and returns once it serves.
func (n *ControlNode) Start() error {
	n.cmd = exec.Command(n.program, "--config", n.file)
	n.cmd.Stderr = n.log
	up := n.log.wait("msg=started")
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		c.Wait()
		close(ended)
	}(n.cmd, n.ended)
	select {
	case <-up:
		return nil
	case <-n.ended:
		return fmt.Errorf("%s ended: %s", n.Name, n.log)
	case <-time.After(10 * time.Second):
		n.Kill()
		return fmt.Errorf("%s does not come up: %s", n.Name, n.log)
	}
}

// Kill ends the process at once, if there is one.
func (n *ControlNode) Kill() {
	if n.ended != nil {
		n.cmd.Process.Signal(syscall.SIGKILL)
		<-n.ended
	}
}

// Wipe ends the process at once, and its disk is lost.
func (n *ControlNode) Wipe() error {
	n.Kill()
	return os.RemoveAll(n.dir)
}

// Freeze stops the process where it is, and Thaw has it go on.
func (n *ControlNode) Freeze() { n.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw is after Freeze.
func (n *ControlNode) Thaw() { n.cmd.Process.Signal(syscall.SIGCONT) }

// Term sends SIGTERM, waits for the process and returns its exit code.
func (n *ControlNode) Term() (int, error) {
	n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return n.cmd.ProcessState.ExitCode(), nil
	case <-time.After(30 * time.Second):
		return -1, fmt.Errorf("%s does not end", n.Name)
	}
}

// Log is the newest lines of its log.
func (n *ControlNode) Log() string { return n.log.String() }

// Stats are the metrics of its admin endpoint, by name; nil = it does not answer.
func (n *ControlNode) Stats() map[string]float64 { return Stats(n.Admin) }

// Stats are the server's metrics, by name; nil = it does not answer.
func (s *TierServer) Stats() map[string]float64 { return Stats(s.Admin) }

// ask has an operator ask the node.
func (n *ControlNode) ask(do func(context.Context, *link.Client) error) error {
	l, err := link.New(n.way, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	c := l.Dial(n.Name, n.addr)
	defer c.Close()
	ctx, stop := context.WithTimeout(context.Background(), asks)
	defer stop()
	return do(ctx, c)
}

// Say sends an operator's word to the node.
func (n *ControlNode) Say(w driver.Command) error {
	return n.ask(func(ctx context.Context, c *link.Client) error { return driver.SendCommand(ctx, c, w) })
}

// State is how the fleet stands, as the node sees it.
func (n *ControlNode) State() (s driver.Status, err error) {
	err = n.ask(func(ctx context.Context, c *link.Client) error {
		s, err = driver.FetchStatus(ctx, c)
		return err
	})
	return s, err
}

// Sessions is how the sessions stand, as the node sees it.
func (n *ControlNode) Sessions() (s controlnode.Status, err error) {
	err = n.ask(func(ctx context.Context, c *link.Client) error {
		return driver.FetchModuleStatus(ctx, c, controlnode.SessionPart, &s)
	})
	return s, err
}

// Documents are all configuration documents with their values, as the node has them.
func (n *ControlNode) Documents() (out []controlnode.DocumentStatus, err error) {
	err = n.ask(func(ctx context.Context, c *link.Client) error {
		if err := driver.FetchModuleStatus(ctx, c, controlnode.ConfigurationPart, &out); err != nil {
			return err
		}
		for i := range out {
			if _, err := driver.FetchItem(ctx, c, controlnode.ConfigurationPart, out[i].Key, &out[i]); err != nil {
				return err
			}
		}
		return nil
	})
	return out, err
}
