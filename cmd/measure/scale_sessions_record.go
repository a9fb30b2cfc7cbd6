package main

import (
	"fmt"

	"larchscale/internal/measure/sessions"
)

// What a server and a control node may take at the size that is planned for.
const (
	boundedSize        = 740
	doubleSize         = 2 * boundedSize
	mostServerCPU      = 0.013     // cores
	mostServerResident = 128 << 20 // bytes, of the whole process
	mostServerBytes    = 4 << 10   // a second, both ways
	mostLeaderCPU      = 0.25
	mostFollowerCPU    = 0.15
	mostGrowth         = 2.2 // of a cost, at twice the size
)

const socketNote = "at the socket, TLS and HTTP/2 included"

// sample adds a reading.
func (s *series) sample(servers int, sample *sessions.Sample) {
	for _, role := range []sessions.Role{sessions.Leader, sessions.Follower} {
		s.nodeRates(servers, string(role), sample.Rates[role], sample.Sizes[role])
	}
	s.serverRates(servers, sample)
}

func (s *series) nodeRates(servers int, role string, rates sessions.Rates, size sessions.Size) {
	in, out := rates.BytesIn+rates.LinkIn, rates.BytesOut+rates.LinkOut
	const note = "of sessions and to other control nodes, " + socketNote
	s.add(role+".cpu", "cores", "user and system, at rest, in the first minute after all started at once, when sessions are not evenly spread", servers, rates.CPU)
	s.add(role+".rss", "bytes", "of the process", servers, size.Resident)
	s.add(role+".bytes", "bytes/s", note, servers, in+out)
	s.add(role+".bytes.in", "bytes/s", note, servers, in)
	s.add(role+".bytes.out", "bytes/s", note, servers, out)
	s.add(role+".link.bytes", "bytes/s", "to and from other control nodes, "+socketNote, servers, rates.LinkIn+rates.LinkOut)
	s.add(role+".messages", "messages/s", "of sessions, and requests to other control nodes", servers, rates.Messages+rates.Requests)
	s.add(role+".descriptors", "descriptors", "of the process", servers, size.Descriptors)
	s.add(role+".disk", "bytes/s", "to block devices", servers, rates.DiskBytes)
}

// serverRates adds what the session of an app server takes: of real servers more than of the same without one.
func (s *series) serverRates(servers int, sample *sessions.Sample) {
	server, bare, hollow := sample.Rates[sessions.Server], sample.Rates[sessions.Bare], sample.Rates[sessions.Hollow]
	if server.Members > 0 {
		s.add("server.bytes", "bytes/s", "in and out, an idle real server, "+socketNote, servers, server.BytesIn+server.BytesOut)
		s.add("server.messages", "messages/s", "in and out, an idle real server", servers, server.Messages)
		s.add("server.rss", "bytes", "of the whole process, an idle real server", servers, sample.Sizes[sessions.Server].Resident)
	}
	if server.Members > 0 && bare.Members > 0 {
		note := fmt.Sprintf("mean of %d real servers less that of %d without a session, both idle", server.Members, bare.Members)
		s.add("server.cpu", "cores", note, servers, server.CPU-bare.CPU)
		s.add("server.more.rss", "bytes", note, servers, sample.Sizes[sessions.Server].Resident-sample.Sizes[sessions.Bare].Resident)
		s.add("server.descriptors", "descriptors", note, servers, sample.Sizes[sessions.Server].Descriptors-sample.Sizes[sessions.Bare].Descriptors)
	}
	const loaded = "a hollow server that reports load, of a process that servers share"
	s.add("shared.cpu", "cores", loaded, servers, hollow.CPU)
	s.add("shared.bytes", "bytes/s", "in and out, "+loaded+", "+socketNote, servers, hollow.BytesIn+hollow.BytesOut)
	s.add("shared.messages", "messages/s", "in and out, "+loaded, servers, hollow.Messages)
	s.add("shared.rss", "bytes", loaded, servers, sample.Sizes[sessions.Hollow].Resident)
	s.add("shared.descriptors", "descriptors", loaded, servers, sample.Sizes[sessions.Hollow].Descriptors)
}

// bounds holds what was measured against the bounds, at the sizes that they are for.
func (c *scaleSessionsCmd) bounds(r *report, s *series) {
	for _, bound := range []struct {
		name, unit string
		most       float64
	}{
		{"server.cpu", "cores", mostServerCPU},
		{"server.rss", "bytes", mostServerResident},
		{"server.bytes", "bytes/s", mostServerBytes},
		{"shared.bytes", "bytes/s", mostServerBytes},
		{"leader.cpu", "cores", mostLeaderCPU},
		{"follower.cpu", "cores", mostFollowerCPU},
	} {
		if value, ok := s.at(bound.name, boundedSize); ok {
			r.most(fmt.Sprintf("%s at %d", bound.name, boundedSize), value, bound.unit, bound.most)
		}
	}
	for _, name := range []string{"leader.cpu", "follower.cpu", "leader.bytes", "follower.bytes", "server.bytes", "shared.bytes", "shared.cpu"} {
		single, ok := s.at(name, boundedSize)
		double, both := s.at(name, doubleSize)
		if ok && both && single > 0 {
			r.most(fmt.Sprintf("%s at %d / at %d", name, doubleSize, boundedSize), double/single, "times", mostGrowth)
		}
	}
}

// at returns the mean of what was read at a size; false = nothing was.
func (s *series) at(name string, servers int) (float64, bool) {
	r := s.readings[name]
	if r == nil || len(r.bySize[servers]) == 0 {
		return 0, false
	}
	sum := 0.0
	for _, value := range r.bySize[servers] {
		sum += value
	}
	return sum / float64(len(r.bySize[servers])), true
}
