package takeout

import "fmt"

// Local is what a server knows about itself.
type Local struct {
	Incarnation uint64
	Warm        bool
	Open        int   // requests in flight
	KeyedUntil  int64 // until then a repeat may ask for a result that only this process has; 0 = none
	Held        int64 // since when its health check fails on purpose; 0 = it does not
	DrainFor    int64 // ms for which the health check fails before all balancers are considered to have noticed
}

// Act is what a server does next about itself. It is derived again from the replicated state at every look, so a
// process that was suspended or restarted acts by what the log says then.
type Act struct {
	Hold bool  // fail the health check
	Say  Phase // phase to propose, if Speak is set
	// Speak is set if there is a phase to propose. The proposal is repeated until the log has it or it no longer
	// applies.
	Speak bool
	Why   string // what the server waits for, or the reason for the proposal
}

// Agent derives what a server does about itself. A server that is not a member, or that the log does not know, serves.
func Agent(s *State, name string, l Local, now int64) Act {
	b := s.Box(name)
	if b == nil {
		return Act{Why: "the fleet does not know this server"}
	}
	propose := func(hold bool, p Phase, why string) Act { return Act{hold, p, true, why} }
	if b.Incarnation != l.Incarnation {
		if b.Incarnation > l.Incarnation {
			return Act{Why: fmt.Sprintf("incarnation %d of this server has reported since: two processes use its name", b.Incarnation)}
		}
		return propose(false, Returning, "this process is new")
	}
	switch b.Phase {
	case Granted:
		return propose(false, Draining, "granted for plan "+b.Plan)
	case Draining:
		if s.planClosed(b.Plan) {
			return propose(false, In, "plan "+b.Plan+" is over")
		}
		switch {
		case l.Held == 0 || now-l.Held < l.DrainFor:
			return Act{Hold: true, Why: "balancers may not have noticed the drain yet"}
		case l.Open > 0:
			return Act{Hold: true, Why: fmt.Sprintf("%d requests are open", l.Open)}
		case l.KeyedUntil > now:
			return Act{Hold: true, Why: fmt.Sprintf("results of keyed requests may be asked for during %d ms more", l.KeyedUntil-now)}
		}
		return propose(true, Out, "no request is open")
	case Out:
		return Act{Hold: true, Why: "the machine may be serviced"}
	case Returning:
		if !l.Warm {
			return Act{Why: "it is cold"}
		}
		return propose(false, In, "it is warm")
	}
	return Act{}
}
