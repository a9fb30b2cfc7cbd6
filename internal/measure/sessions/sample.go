package sessions

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"larchscale/internal/fleet/stream"
	"larchscale/internal/measure/traffic"
	"larchscale/internal/measure/worker"
)

// Role is what the processes of a fleet are told apart by.
type Role string

// The roles.
const (
	Leader   Role = "leader"
	Follower Role = "follower" // a control node that does not lead
	Server   Role = "server"   // a real app server with a session
	Bare     Role = "bare"     // the same without
	Hollow   Role = "hollow"   // hollow servers, each
)

// Rates are what one member of a role takes, each second.
type Rates struct {
	CPU       float64 // cores
	BytesIn   float64 // of sessions, at the socket, TLS included
	BytesOut  float64
	LinkIn    float64 // bytes between control nodes, the same
	LinkOut   float64
	Requests  float64 // that a control node made of others
	Messages  float64 // of sessions, both ways
	DiskBytes float64
	Kinds     stream.Messages // the sum over the window and all members of the role
	Members   int
	Seconds   float64
}

// Size is what a member of a role holds: the mean over its processes.
type Size struct {
	Resident    float64 // bytes
	Descriptors float64
}

// Sample is what all roles took in a window.
type Sample struct {
	Rates map[Role]Rates
	Sizes map[Role]Size
	// ServerCPUs is the use of each real app server with a session, and BareCPUs of each without.
	ServerCPUs, BareCPUs []float64
}

// ErrStats is a process that does not tell its metrics.
var ErrStats = errors.New("no metrics")

// ErrUnsteady is a window in which sessions were opened.
var ErrUnsteady = errors.New("sessions were opened")

// mostOpened is the part of all sessions that may be opened in a window at rest: those that return to their first choice.
const mostOpened = 0.02

// statsAttempts is how often the metrics of a process are asked for: one under load may be late.
const statsAttempts = 10

func statsOf(name string, ask func() map[string]float64) (map[string]float64, error) {
	for range statsAttempts {
		if stats := ask(); stats != nil {
			return stats, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", name, ErrStats)
}

// reading is that of one process.
type reading struct {
	usage                              worker.Usage
	bytesIn, bytesOut, linkIn, linkOut float64
	requests                           float64
	messages                           stream.Messages
	servers                            int // that the process has
}

func readingOf(usage worker.Usage, stats map[string]float64) reading {
	return reading{usage: usage, bytesIn: stats["fleet.session_bytes_in"], bytesOut: stats["fleet.session_bytes_out"],
		linkIn: stats["fleet.link_bytes_in"], linkOut: stats["fleet.link_bytes_out"], requests: stats["fleet.link_requests"],
		messages: messagesOf(stats), servers: 1}
}

func readNode(n *Node) (reading, error) {
	usage, usageErr := n.Usage()
	stats, statsErr := statsOf(n.Name, n.Stats)
	return readingOf(usage, stats), errors.Join(usageErr, statsErr)
}

func readServer(s *appServer) (reading, error) {
	usage, usageErr := worker.ReadUsageOf(s.Pid())
	stats, statsErr := statsOf(s.Name, s.stats)
	return readingOf(usage, stats), errors.Join(usageErr, statsErr)
}

func readWorker(w *hollowWorker) (r reading, err error) {
	if r.usage, err = w.Usage(); err != nil {
		return r, err
	}
	totals, err := call[Totals](methodTotals)(w)
	r.bytesIn, r.bytesOut, r.messages, r.servers = float64(totals.BytesIn), float64(totals.BytesOut), totals.Messages, len(w.configs)
	return r, err
}

// readings are those of all processes, in the order of the fleet's lists.
type readings struct{ nodes, real, bare, workers []reading }

func (f *Fleet) read() (r readings, err error) {
	var nodeErr, realErr, bareErr, workerErr error
	r.nodes, nodeErr = each(f.Nodes, readNode)
	r.real, realErr = each(f.real, readServer)
	r.bare, bareErr = each(f.bare, readServer)
	r.workers, workerErr = each(f.workers, readWorker)
	return r, errors.Join(nodeErr, realErr, bareErr, workerErr)
}

// Window is a sample over a time in which nothing is asked of the fleet. One in which the leader changed, or sessions were
// opened, is an error.
func (f *Fleet) Window(ctx context.Context, length time.Duration) (*Sample, error) {
	leader, err := f.Leader()
	if err != nil {
		return nil, err
	}
	before, err := f.read()
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(length):
	}
	after, err := f.read()
	if err != nil {
		return nil, err
	}
	if now, err := f.Leader(); err != nil || now != leader {
		return nil, errors.Join(err, fmt.Errorf("another one than %s in a window: %w", leader.Name, ErrLeader))
	}
	sample := f.sample(leader, before, after)
	if opened := sample.Rates[Hollow].Kinds.Hellos + sample.Rates[Server].Kinds.Hellos; float64(opened) > mostOpened*float64(f.options.Servers) {
		return nil, fmt.Errorf("%d in a window: %w", opened, ErrUnsteady)
	}
	return sample, nil
}

// sample gives the means over the members of each role.
func (f *Fleet) sample(leader *Node, before, after readings) *Sample {
	s := &Sample{Rates: map[Role]Rates{}, Sizes: map[Role]Size{}}
	at := slices.Index(f.Nodes, leader)
	followers := func(list []reading) []reading { return slices.Concat(list[:at], list[at+1:]) }
	s.add(Leader, before.nodes[at:at+1], after.nodes[at:at+1])
	s.add(Follower, followers(before.nodes), followers(after.nodes))
	s.ServerCPUs = s.add(Server, before.real, after.real)
	s.BareCPUs = s.add(Bare, before.bare, after.bare)
	s.add(Hollow, before.workers, after.workers)
	return s
}

// add adds a role, and returns the use of each of its processes.
func (s *Sample) add(role Role, before, after []reading) (cpus []float64) {
	if len(after) == 0 {
		return nil
	}
	var rates Rates
	var size Size
	for i := range after {
		b, a := &before[i], &after[i]
		seconds := a.usage.At.Sub(b.usage.At).Seconds()
		cpu := (a.usage.CPU - b.usage.CPU).Seconds() / seconds
		cpus = append(cpus, cpu)
		kinds := since(a.messages, b.messages)
		addMessages(&rates.Kinds, kinds)
		rates.CPU += cpu
		rates.BytesIn += (a.bytesIn - b.bytesIn) / seconds
		rates.BytesOut += (a.bytesOut - b.bytesOut) / seconds
		rates.LinkIn += (a.linkIn - b.linkIn) / seconds
		rates.LinkOut += (a.linkOut - b.linkOut) / seconds
		rates.Requests += (a.requests - b.requests) / seconds
		rates.Messages += float64(count(kinds)) / seconds
		rates.DiskBytes += float64(a.usage.DiskBytes-b.usage.DiskBytes) / seconds
		rates.Seconds = seconds
		rates.Members += a.servers
		size.Resident += float64(a.usage.Resident)
		size.Descriptors += float64(a.usage.Descriptors)
	}
	members := float64(rates.Members)
	for _, sum := range []*float64{&rates.CPU, &rates.BytesIn, &rates.BytesOut, &rates.LinkIn, &rates.LinkOut, &rates.Requests, &rates.Messages,
		&rates.DiskBytes, &size.Resident, &size.Descriptors} {
		*sum /= members
	}
	s.Rates[role], s.Sizes[role] = rates, size
	return cpus
}

func since(now, earlier stream.Messages) stream.Messages {
	return stream.Messages{Hellos: now.Hellos - earlier.Hellos, Heartbeats: now.Heartbeats - earlier.Heartbeats, Welcomes: now.Welcomes - earlier.Welcomes,
		Refusals: now.Refusals - earlier.Refusals, Acks: now.Acks - earlier.Acks, Batches: now.Batches - earlier.Batches}
}

func count(m stream.Messages) uint64 {
	return m.Hellos + m.Heartbeats + m.Welcomes + m.Refusals + m.Acks + m.Batches
}

// Check compares the counts of one connection of the first worker with the kernel's.
func (f *Fleet) Check() (traffic.KernelCheck, error) {
	return call[traffic.KernelCheck](methodCheck)(f.workers[0])
}

// NodeCPU is what the leader and all other control nodes have used so far.
func (f *Fleet) NodeCPU() (leader, others time.Duration, err error) {
	leads, err := f.Leader()
	if err != nil {
		return 0, 0, err
	}
	for _, n := range f.Nodes {
		usage, err := n.Usage()
		if err != nil {
			return 0, 0, err
		}
		if n == leads {
			leader = usage.CPU
		} else {
			others += usage.CPU
		}
	}
	return leader, others, nil
}
