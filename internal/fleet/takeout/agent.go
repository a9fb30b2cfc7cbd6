package takeout

import "fmt"

// Local is what a box knows of itself.
type Local struct {
	Incarnation uint64
	Warm        bool
	Open        int   // requests taken and not ended
	KeyedUntil  int64 // until then a repeat may ask for a result that only this process has; 0 = none
	Held        int64 // since when its health says no; 0 = it does not
	DrainFor    int64 // ms for which it has to before balancers are taken to have heard
}

// Act is what a box does next about itself. It is worked out anew from the agreed state at every look, so a process
// that stopped and woke, or started anew, does the right thing by what the log says then.
type Act struct {
	Hold bool  // its health says no
	Say  Phase // to propose, with Speak
	// Speak tells that there is something to propose. It is proposed again until the log has it or it no longer holds.
	Speak bool
	Why   string // what it waits for, or why it speaks
}

// Agent derives what a box does about itself. A box that is no member, or that the log does not know, serves.
func Agent(s *State, name string, l Local, now int64) Act {
	b := s.Box(name)
	if b == nil {
		return Act{Why: "the fleet does not know this box"}
	}
	say := func(hold bool, p Phase, why string) Act { return Act{hold, p, true, why} }
	if b.Incarnation != l.Incarnation {
		if b.Incarnation > l.Incarnation {
			return Act{Why: fmt.Sprintf("process %d of this box has spoken since: there are two", b.Incarnation)}
		}
		return say(false, Returning, "this process is new")
	}
	switch b.Phase {
	case Granted:
		return say(false, Draining, "it may go, for plan "+b.Plan)
	case Draining:
		if s.ended(b.Plan) {
			return say(false, In, "plan "+b.Plan+" is over")
		}
		switch {
		case l.Held == 0 || now-l.Held < l.DrainFor:
			return Act{Hold: true, Why: "balancers have to hear of it"}
		case l.Open > 0:
			return Act{Hold: true, Why: fmt.Sprintf("%d requests are open", l.Open)}
		case l.KeyedUntil > now:
			return Act{Hold: true, Why: fmt.Sprintf("results of keyed requests are wanted for %d ms", l.KeyedUntil-now)}
		}
		return say(true, Out, "nothing is open on it")
	case Out:
		return Act{Hold: true, Why: "the machine may be touched"}
	case Returning:
		if !l.Warm {
			return Act{Why: "it is cold"}
		}
		return say(false, In, "it is warm")
	}
	return Act{}
}
