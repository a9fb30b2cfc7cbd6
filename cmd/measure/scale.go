package main

// scaleCmd are the measurements of how costs grow with the size of a fleet.
type scaleCmd struct {
	Learners scaleLearnersCmd `cmd:"" help:"What the fleet costs its servers, each of which has the whole log, by its size."`
	States   scaleStatesCmd   `cmd:"" help:"What the leader works out and encodes, without I/O, by the size of the fleet."`
	Hollow   scaleHollowCmd   `cmd:"" hidden:"" help:"Part of learners, in a process of its own."`
}
