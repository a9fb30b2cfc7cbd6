package maintenance

import "fmt"

// LocalStatus is what a server knows about itself.
type LocalStatus struct {
	Incarnation   uint64
	Warm          bool
	Open          int   // requests in flight
	KeyedUntil    int64 // until then a repeat may ask for a result that only this process has; 0 = none
	DrainingSince int64 // since when its health check fails on purpose; 0 = it does not
	MinDrain      int64 // ms for which the health check fails before all balancers are considered to have noticed
}

// Action is what a server does next about itself. It is derived again from the replicated state at every look, so a
// process that was suspended or restarted acts by what the log says then.
type Action struct {
	Hold bool  // fail the health check
	Say  Phase // phase to propose, if Speak is set
	// Speak is set if there is a phase to propose. The proposal is repeated until the log has it or it no longer
	// applies.
	Speak bool
	Why   string // what the server waits for, or the reason for the proposal
}

// NextAction derives what a server does about itself. A server that is not a member, or that the log does not know, serves.
func NextAction(s *State, name string, l LocalStatus, now int64) Action {
	b := s.Server(name)
	if b == nil {
		return Action{Why: "the fleet does not know this server"}
	}
	propose := func(hold bool, p Phase, why string) Action { return Action{hold, p, true, why} }
	if b.Incarnation != l.Incarnation {
		if b.Incarnation > l.Incarnation {
			return Action{Why: fmt.Sprintf("incarnation %d of this server has reported since: two processes use its name", b.Incarnation)}
		}
		return propose(false, Returning, "this process is new")
	}
	switch b.Phase {
	case Granted:
		return propose(false, Draining, "granted for plan "+b.Plan)
	case Draining:
		if s.planClosed(b.Plan) {
			return propose(false, InService, "plan "+b.Plan+" is over")
		}
		switch {
		case l.DrainingSince == 0 || now-l.DrainingSince < l.MinDrain:
			return Action{Hold: true, Why: "balancers may not have noticed the drain yet"}
		case l.Open > 0:
			return Action{Hold: true, Why: fmt.Sprintf("%d requests are open", l.Open)}
		case l.KeyedUntil > now:
			return Action{Hold: true, Why: fmt.Sprintf("results of keyed requests may be asked for during %d ms more", l.KeyedUntil-now)}
		}
		return propose(true, Drained, "no request is open")
	case Drained:
		return Action{Hold: true, Why: "the machine may be serviced"}
	case Returning:
		if !l.Warm {
			return Action{Why: "it is cold"}
		}
		return propose(false, InService, "it is warm")
	}
	return Action{}
}
