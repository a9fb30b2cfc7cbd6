// Package limits has the bounds on the size of a fleet, in one place. docs/CAPACITY.md derives them from measurements.
package limits

const (
	// MaxServers bounds the app servers of a fleet with a control tier: twice the size that is planned for, and room
	// for the control nodes themselves.
	MaxServers = 1536
	// MaxMeshServers bounds a fleet without a control tier, in which every server is a member of raft and servers
	// connect to each other.
	MaxMeshServers = 300
	// MaxControlNodes bounds the members of raft in a fleet with a control tier. All of them vote.
	MaxControlNodes = 7
	// MaxName bounds the name of a server, a zone or a control node, in bytes.
	MaxName = 64
)
