package maintenance

import (
	"fmt"
	"slices"
)

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entry.
const (
	Join     Kind = iota + 1 // adds a server, or moves it to another zone
	Propose                  // adds a plan
	Arrange                  // sets the order of a plan
	Grant                    // lets a server begin to drain
	Step                     // reports a server's next phase
	Pause                    // stops the grants of a plan until it is resumed
	Resume                   // lets a paused plan grant again
	Cancel                   // ends a plan: it grants nothing more
	Replan                   // discards the order of a plan, which is derived again
	Expire                   // ends a plan whose deadline has passed
	WriteOff                 // stops counting a server that is not back
	Leave                    // removes a server for good
)

// Entry is one entry of the log. Which fields are used depends on Kind.
type Entry struct {
	Kind        Kind
	At          int64  // of the proposer's clock
	Box         string // Join, Grant, Step, WriteOff, Leave
	Zone        string // Join
	Incarnation uint64 // Grant, Step: the server's process
	Phase       Phase  // Step: the phase that it enters; In = it is warm again
	Plan        Plan   // Propose: the whole plan; others: its ID alone
	Order       []OrderItem
	Missing     []string // Grant: servers that the leader considers unavailable, whatever the log says of them
	By, Why     string   // WriteOff, Leave: the operator and the reason; Grant: the reason for the choice
}

// Apply carries out the entry of an index. The result is the same on every server, since it depends only on the state
// and the entry. An invalid entry changes nothing but the index and returns the same error on every server.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index = index
	switch e.Kind {
	case Join:
		return s.join(e)
	case Propose:
		return s.propose(index, e)
	case Step:
		return s.step(index, e)
	case WriteOff:
		return s.writeOff(index, e)
	case Leave:
		return s.leave(e)
	}
	p := s.Plan(e.Plan.ID)
	if p == nil {
		return fmt.Errorf("plan %q: %w", e.Plan.ID, ErrUnknown)
	}
	if p.State.closed() {
		return fmt.Errorf("plan %s is %s: %w", p.ID, p.State, ErrOver)
	}
	switch e.Kind {
	case Arrange:
		return s.arrange(p, e)
	case Grant:
		return s.grant(index, p, e)
	case Pause:
		p.State = Paused
	case Resume:
		if p.State == Paused {
			p.State = Waiting
		}
	case Replan:
		p.Order = nil
	case Cancel, Expire:
		if e.Kind == Expire && p.Deadline == 0 {
			return fmt.Errorf("plan %s has no deadline: %w", p.ID, ErrInvalid)
		}
		p.State, p.Order = Cancelled, nil
		if e.Kind == Expire {
			p.State = Expired
		}
		for i := range s.Boxes { // a server that was granted and has not begun returns to In
			if b := &s.Boxes[i]; b.Plan == p.ID && b.Phase == Granted {
				b.Phase, b.Plan, b.Index, b.WrittenOff = InService, "", index, ""
			}
		}
	default:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	}
	s.advancePlans()
	return nil
}

func (s *State) join(e *Entry) error {
	if e.Box == "" || len(e.Box) > maxName || len(e.Zone) > maxName {
		return fmt.Errorf("server name %q, zone %q: %w", e.Box, e.Zone, ErrInvalid)
	}
	if b := s.Server(e.Box); b != nil {
		b.Zone = e.Zone
		return nil
	}
	if len(s.Boxes) >= MaxBoxes {
		return fmt.Errorf("server %s: the fleet has %d servers, which is the maximum: %w", e.Box, MaxBoxes, ErrInvalid)
	}
	s.Boxes = append(s.Boxes, Server{Name: e.Box, Zone: e.Zone})
	slices.SortFunc(s.Boxes, func(a, b Server) int { return compare(a.Name, b.Name) })
	return nil
}

func (s *State) propose(index uint64, e *Entry) error {
	if p := s.Plan(e.Plan.ID); p != nil {
		if p.By == e.Plan.By && p.Reason == e.Plan.Reason && slices.Equal(p.Boxes, e.Plan.Boxes) && p.Most == e.Plan.Most &&
			p.Floor == e.Plan.Floor && p.Deadline == e.Plan.Deadline {
			return nil // repeated because the answer was lost
		}
		return fmt.Errorf("plan %s: a different plan has this ID: %w", p.ID, ErrInvalid)
	}
	p := e.Plan
	if err := s.check(&p); err != nil {
		return err
	}
	if len(s.Plans) >= MaxPlans {
		i := slices.IndexFunc(s.Plans, func(p Plan) bool { return p.State.closed() && !s.holdsGrant(&p) })
		if i < 0 {
			return fmt.Errorf("plan %s: %d plans are open, which is the maximum: %w", p.ID, len(s.Plans), ErrInvalid)
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
	p.State, p.Order, p.Gone, p.Index = Waiting, nil, nil, index
	p.Boxes = slices.Clone(p.Boxes)
	s.Plans = append(s.Plans, p)
	s.advancePlans()
	return nil
}

// holdsGrant reports whether a server holds a grant of the plan.
func (s *State) holdsGrant(p *Plan) bool {
	return slices.ContainsFunc(s.Boxes, func(b Server) bool { return b.Plan == p.ID })
}

// arrange sets the order of the servers that a plan has left to grant.
func (s *State) arrange(p *Plan, e *Entry) error {
	if p.State != Running {
		return fmt.Errorf("plan %s is %s: %w", p.ID, p.State, ErrPhase)
	}
	if !covers(e.Order, s.left(p)) {
		return fmt.Errorf("plan %s: the order does not match the servers that are left to grant: %w", p.ID, ErrInvalid)
	}
	p.Order = slices.Clone(e.Order)
	return nil
}

// covers reports whether an order lists exactly the servers that are left, which are sorted by name.
func covers(order []OrderItem, left []string) bool {
	names := make([]string, len(order))
	for i, place := range order {
		names[i] = place.Box
	}
	slices.Sort(names)
	return slices.Equal(names, left)
}

// left returns the servers that a plan has not granted yet, sorted by name.
func (s *State) left(p *Plan) []string {
	var names []string
	for _, name := range p.Boxes {
		if b := s.Server(name); b.Plan != p.ID && !slices.Contains(p.Gone, name) {
			names = append(names, name)
		}
	}
	return names
}

// grant lets the first server in a plan's order begin to drain.
func (s *State) grant(index uint64, p *Plan, e *Entry) error {
	b := s.Server(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("server %q: %w", e.Box, ErrUnknown)
	case p.State != Running:
		return fmt.Errorf("plan %s is %s: %w", p.ID, p.State, ErrPhase)
	case len(p.Order) == 0 || p.Order[0].Box != b.Name:
		return fmt.Errorf("server %s is not the next in plan %s: %w", b.Name, p.ID, ErrPhase)
	case b.Phase != InService || b.Incarnation != e.Incarnation:
		return fmt.Errorf("server %s is %s in incarnation %d, the grant is for incarnation %d: %w", b.Name, b.Phase, b.Incarnation, e.Incarnation, ErrPhase)
	}
	if n := s.unavailable(e.Missing, b.Name); n+1 > p.Most {
		return fmt.Errorf("server %s would be the unavailable server number %d of at most %d of plan %s: %w", b.Name, n+1, p.Most, p.ID, ErrBound)
	}
	p.Order = slices.Delete(slices.Clone(p.Order), 0, 1)
	b.Phase, b.Plan, b.Index = Granted, p.ID, index
	return nil
}

// unavailable counts the servers, except one, that are unavailable by the log or named as missing.
func (s *State) unavailable(missing []string, except string) int {
	count := 0
	for i := range s.Boxes {
		if b := &s.Boxes[i]; b.Name != except && (b.unavailable() || slices.Contains(missing, b.Name)) {
			count++
		}
	}
	return count
}

// step applies a phase that a server reports about itself. Every new process first reports that it has come up cold,
// and the server is known by that process's incarnation from then on. A server whose process died before it was Out
// for its plan is granted again once it is back. The same process may return too, if the maintenance did not end it.
func (s *State) step(index uint64, e *Entry) error {
	b := s.Server(e.Box)
	if b == nil {
		return fmt.Errorf("server %q: %w", e.Box, ErrUnknown)
	}
	newProcess := e.Incarnation != b.Incarnation
	switch {
	case e.Incarnation == 0, newProcess && e.Incarnation < b.Incarnation:
		return fmt.Errorf("server %s is in incarnation %d, incarnation %d reported: %w", b.Name, b.Incarnation, e.Incarnation, ErrPhase)
	case newProcess && e.Phase != Returning, !newProcess && e.Phase == Returning && b.Phase < Drained,
		e.Phase == Draining && b.Phase > Draining, e.Phase == Draining && b.Phase == InService,
		e.Phase == Drained && b.Phase != Draining && b.Phase != Drained, e.Phase == Granted:
		return fmt.Errorf("server %s is %s and reported %s: %w", b.Name, b.Phase, e.Phase, ErrPhase)
	case e.Phase == InService && b.Phase == Granted:
		return fmt.Errorf("server %s has an unused grant: %w", b.Name, ErrPhase)
	case e.Phase == InService && b.Phase == Drained:
		return fmt.Errorf("server %s is out, and its new process has not reported: %w", b.Name, ErrPhase)
	case e.Phase == InService && b.Phase == Draining && !s.planClosed(b.Plan):
		return fmt.Errorf("server %s drains for plan %s, which is still open: %w", b.Name, b.Plan, ErrPhase)
	}
	b.Incarnation = e.Incarnation
	if e.Phase == b.Phase {
		return nil
	}
	b.Phase, b.Index = e.Phase, index
	switch e.Phase {
	case Drained:
		b.WasOut = true
	case Returning: // counts again, even if it was written off
		b.WrittenOff = ""
	case InService:
		if p := s.Plan(b.Plan); p != nil && b.WasOut && !slices.Contains(p.Gone, b.Name) {
			p.Gone = append(p.Gone, b.Name)
		}
		b.Plan, b.WasOut = "", false
	}
	s.advancePlans()
	return nil
}

func (s *State) planClosed(plan string) bool {
	p := s.Plan(plan)
	return p == nil || p.State.closed()
}

// writeOff records an operator's decision not to wait for a server.
func (s *State) writeOff(index uint64, e *Entry) error {
	b := s.Server(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("server %q: %w", e.Box, ErrUnknown)
	case e.By == "" || e.Why == "" || len(e.By) > maxName || len(e.Why) > maxReason:
		return fmt.Errorf("server %s: operator or reason is missing or too long: %w", b.Name, ErrInvalid)
	case b.Phase == InService:
		return fmt.Errorf("server %s is in and does not count as unavailable: %w", b.Name, ErrPhase)
	}
	b.WrittenOff, b.Index = e.By+": "+e.Why, index
	if p := s.Plan(b.Plan); p != nil && !slices.Contains(p.Gone, b.Name) {
		p.Gone = append(p.Gone, b.Name)
	}
	s.advancePlans()
	return nil
}

// leave removes a server from the fleet and from all plans, by an operator's decision. If it still runs, it joins
// again as a new member.
func (s *State) leave(e *Entry) error {
	b := s.Server(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("server %q: %w", e.Box, ErrUnknown)
	case e.By == "" || e.Why == "" || len(e.By) > maxName || len(e.Why) > maxReason:
		return fmt.Errorf("server %s: operator or reason is missing or too long: %w", b.Name, ErrInvalid)
	case len(s.Boxes) == 1:
		return fmt.Errorf("server %s is the last of the fleet: %w", b.Name, ErrInvalid)
	}
	matches := func(name string) bool { return name == e.Box }
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Boxes = slices.DeleteFunc(slices.Clone(p.Boxes), matches)
		p.Gone = slices.DeleteFunc(slices.Clone(p.Gone), matches)
		p.Order = slices.DeleteFunc(slices.Clone(p.Order), func(x OrderItem) bool { return matches(x.Box) })
	}
	s.Boxes = slices.DeleteFunc(s.Boxes, func(x Server) bool { return matches(x.Name) })
	s.advancePlans()
	return nil
}

// advancePlans updates the states of the plans after an entry: a plan whose servers no other plan holds begins, in the
// order of proposal, and a plan with nothing left is done.
func (s *State) advancePlans() {
	reserved := map[string]bool{}
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.State.closed() {
			continue
		}
		if len(p.Gone) == len(p.Boxes) {
			p.State, p.Order = Done, nil
			continue
		}
		free := true
		for _, name := range p.Boxes {
			b := s.Server(name)
			free = free && !reserved[name] && (b.Plan == "" || b.Plan == p.ID)
		}
		for _, name := range p.Boxes {
			reserved[name] = true
		}
		switch {
		case p.State == Waiting && free:
			p.State = Running
		case p.State == Running && !free:
			p.State = Waiting
		}
	}
}
