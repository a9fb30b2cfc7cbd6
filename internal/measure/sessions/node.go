package sessions

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
	"time"

	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/link"
	"larchscale/internal/measure/certificates"
	"larchscale/internal/measure/worker"
	"larchscale/internal/standin"
)

// Times of a node.
const (
	startWithin = 30 * time.Second
	lookEvery   = 50 * time.Millisecond
	// operatorConnections is how many requests of operators a node is asked at a time; it has room for eight.
	operatorConnections = 6
	askWithin           = 12 * time.Second // longer than a node waits for what becomes of a command
	endWithin           = 30 * time.Second
)

// Node is one control node: a process of the real program, on files that outlive it.
type Node struct {
	Name   string
	Zone   int
	Region int

	program   string
	addr      string // for the other nodes and operators
	sessions  string
	admin     string
	file      string
	logFile   string
	operators []*link.Client // as operators ask: one request at a time on each

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed once the process has ended; nil = it was never started
}

func newNode(program, name string, zone, region int) (n *Node, err error) {
	n = &Node{Name: name, Zone: zone, Region: region, program: program}
	for _, addr := range []*string{&n.addr, &n.sessions, &n.admin} {
		if *addr, err = standin.FreeAddr(); err != nil {
			return nil, fmt.Errorf("control node %s: %w", name, err)
		}
	}
	return n, nil
}

// nodeSettings are the keys of a node's file whose defaults do not do here.
type nodeSettings struct {
	Home         string
	Zone, Region string
	Nodes        []string // as this node reaches them
	Certificates certificates.Files
	Operator     certificates.Files
}

// write writes the node's file, and connects to the node as an operator does.
func (n *Node) write(s nodeSettings) error {
	home := filepath.Join(s.Home, n.Name)
	if err := os.MkdirAll(home, 0o700); err != nil {
		return fmt.Errorf("control node %s: %w", n.Name, err)
	}
	n.file, n.logFile = filepath.Join(home, "control.toml"), filepath.Join(home, "log.txt")
	text := fmt.Sprintf("name = %q\nzone = %q\nregion = %q\ndir = %q\nlisten = %q\nsessions = %q\nadmin = %q\nnodes = [%s]\nca = %q\ncert = %q\nkey = %q\n",
		n.Name, s.Zone, s.Region, filepath.Join(home, "raft"), n.addr, n.sessions, n.admin, quoted(s.Nodes),
		s.Certificates.CA, s.Certificates.Certificate, s.Certificates.Key)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("control node %s: %w", n.Name, err)
	}
	way, err := link.New(link.Options{CA: s.Operator.CA, Cert: s.Operator.Certificate, Key: s.Operator.Key}, slog.New(slog.DiscardHandler))
	if err != nil {
		return fmt.Errorf("control node %s: %w", n.Name, err)
	}
	for range operatorConnections {
		n.operators = append(n.operators, way.Dial(n.Name, n.addr))
	}
	return nil
}

// quoted returns a list as TOML has it.
func quoted(items []string) string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = fmt.Sprintf("%q", item)
	}
	return strings.Join(out, ", ")
}

// Start starts a process of the node, and returns once its admin endpoint answers.
func (n *Node) Start(ctx context.Context) error {
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("control node %s: %w", n.Name, err)
	}
	defer log.Close()
	command := exec.Command(n.program, "--config", n.file)
	command.Stderr = log
	if err := command.Start(); err != nil {
		return fmt.Errorf("control node %s: %w", n.Name, err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		command.Wait()
	}()
	n.mu.Lock()
	n.command, n.ended = command, ended
	n.mu.Unlock()
	return n.await(ctx, ended)
}

var errStart = errors.New("does not start")

// await waits until the process answers.
func (n *Node) await(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	clock := time.NewTicker(lookEvery)
	defer clock.Stop()
	for {
		select {
		case <-ended:
			return fmt.Errorf("control node %s %w: %s", n.Name, errStart, lastLine(n.logFile))
		case <-ctx.Done():
			return fmt.Errorf("control node %s %w: %w", n.Name, errStart, ctx.Err())
		case <-clock.C:
		}
		if n.Stats() != nil {
			return nil
		}
	}
}

func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// process returns the newest process; ended is nil if there was none.
func (n *Node) process() (command *exec.Cmd, ended chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command, n.ended
}

// Kill ends the process at once, if there is one.
func (n *Node) Kill() {
	command, ended := n.process()
	if ended == nil {
		return
	}
	command.Process.Kill()
	<-ended
}

// Stats are the metrics of the admin endpoint, by name; nil = it does not answer.
func (n *Node) Stats() map[string]float64 { return standin.Stats(n.admin) }

// Leads tells that the node says that it leads.
func (n *Node) Leads() bool { return n.Stats()["fleet.leader"] == 1 }

// Usage is what the process has used so far.
func (n *Node) Usage() (worker.Usage, error) {
	command, _ := n.process()
	return worker.ReadUsageOf(command.Process.Pid)
}

// Say gives the node an operator's word.
func (n *Node) Say(word driver.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	return driver.SendCommand(ctx, n.operators[0], word)
}

// Sessions is how the sessions stand, as the node knows it.
func (n *Node) Sessions() (status controlnode.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	err = driver.FetchModuleStatus(ctx, n.operators[0], controlnode.SessionPart, &status)
	return status, err
}

// Documents are those that the node has applied, without their values.
func (n *Node) Documents() (list []controlnode.DocumentStatus, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	err = driver.FetchModuleStatus(ctx, n.operators[0], controlnode.ConfigurationPart, &list)
	return list, err
}
