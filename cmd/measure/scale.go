package main

// scaleCmd are the measurements of what servers cost at the size of a large fleet.
type scaleCmd struct {
	Path     scalePathCmd     `cmd:"" help:"The request path of one server: delay added, CPU, memory, start, reload and /stats by size."`
	Learners scaleLearnersCmd `cmd:"" help:"What the fleet costs its servers, each of which has the whole log, by its size."`
	States   scaleStatesCmd   `cmd:"" help:"What the leader works out and encodes, without I/O, by the size of the fleet."`
	Sessions scaleSessionsCmd `cmd:"" help:"A control tier and sessions to it: cost at rest by its size, and what events do to it."`
	Hollow   scaleHollowCmd   `cmd:"" hidden:"" help:"Part of learners, in a process of its own."`

	SessionServers scaleSessionServersCmd `cmd:"" hidden:"" help:"Part of sessions, in a process of its own."`
}
