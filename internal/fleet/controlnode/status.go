package controlnode

import (
	"errors"
	"slices"
	"strings"

	"larchscale/internal/fleet/boottime"
)

// firstBehind bounds the names of servers that a status has.
const firstBehind = 8

// Status is how the sessions of the fleet stand, as one node knows it.
type Status struct {
	Node          string
	Leader        string
	Fleet         uint64 // 0 = it is not agreed yet
	Configuration uint64 // revision of the newest change of a document
	Digest        uint64 // of all documents; equal at all nodes that have applied the same
	Nodes         []NodeStatus

	// Of the leader alone.
	Leads       bool
	Servers     int      // that have a session
	Behind      int      // of them, that do not have the newest configuration in force
	FirstBehind []string `json:",omitempty"` // the first of their names
}

// NodeStatus is one node's, as it last told.
type NodeStatus struct {
	Name     string
	Region   string
	Sessions int
	Revision uint64 // that it has applied
}

// DecodeCommand implements driver.CommandHandler.
func (s *sessions) DecodeCommand([]byte) (any, error) {
	return nil, errors.New("sessions take no commands")
}

// Status implements driver.CommandHandler.
func (s *sessions) Status() any {
	self := s.host.Self().Name
	own := s.nodeReport()
	out := Status{Node: self, Leader: s.host.Leader(), Fleet: s.State.Fleet, Configuration: s.node.documents.newest(), Digest: s.node.documents.State.Digest(), Nodes: []NodeStatus{own.status(self)}}
	for name, report := range s.nodes {
		out.Nodes = append(out.Nodes, report.status(name))
	}
	slices.SortFunc(out.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	if out.Leads = s.leads(); out.Leads {
		behind, servers := s.collector.Behind(out.Configuration, boottime.Now())
		out.Servers, out.Behind, out.FirstBehind = servers, len(behind), behind[:min(len(behind), firstBehind)]
	}
	return out
}

func (r *nodeReport) status(name string) NodeStatus {
	return NodeStatus{Name: name, Region: r.Region, Sessions: r.Sessions, Revision: r.Revision}
}
