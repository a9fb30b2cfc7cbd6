package takeout

import (
	"fmt"
	"slices"
)

// Kind tells what an entry does.
type Kind uint8

// The kinds of entry.
const (
	Join     Kind = iota + 1 // a box is a member from now on, or has moved to another zone
	Propose                  // a plan
	Arrange                  // the order of a plan
	Grant                    // a box may begin to drain
	Step                     // a box tells its next phase
	Pause                    // no grants of a plan until it is resumed
	Resume                   //
	Cancel                   // no grants of a plan any more
	Replan                   // its order is derived anew
	Expire                   // its deadline has passed
	WriteOff                 // a box that is not back is counted no longer
	Leave                    // a box is a member no longer: it is gone for good
)

// Entry is one entry of the log. Which fields count depends on Kind.
type Entry struct {
	Kind        Kind
	At          int64  // of the proposer's clock
	Box         string // Join, Grant, Step, WriteOff, Leave
	Zone        string // Join
	Incarnation uint64 // Grant, Step: which process of the box
	Phase       Phase  // Step: the one that it enters; In = it is warm again
	Plan        Plan   // Propose: whole; else its ID alone
	Order       []Place
	Missing     []string // Grant: those that the leader took for unavailable, whatever the log says of them
	By, Why     string   // an operator's word; Grant: what spoke for it
}

// Apply carries out the entry of an index. It is the same on every box: it looks at nothing but the state and the
// entry. An entry that cannot be changes nothing, and the error says why, on every box alike.
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
	if p.State.over() {
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
		for i := range s.Boxes { // who was granted and has not begun stays as it was
			if b := &s.Boxes[i]; b.Plan == p.ID && b.Phase == Granted {
				b.Phase, b.Plan, b.Index, b.WrittenOff = In, "", index, ""
			}
		}
	default:
		return fmt.Errorf("entry of kind %d: %w", e.Kind, ErrInvalid)
	}
	s.settle()
	return nil
}

func (s *State) join(e *Entry) error {
	if e.Box == "" || len(e.Box) > maxName || len(e.Zone) > maxName {
		return fmt.Errorf("box %q in zone %q: %w", e.Box, e.Zone, ErrInvalid)
	}
	if b := s.Box(e.Box); b != nil {
		b.Zone = e.Zone
		return nil
	}
	if len(s.Boxes) >= MaxBoxes {
		return fmt.Errorf("box %s: %d boxes are the most: %w", e.Box, MaxBoxes, ErrInvalid)
	}
	s.Boxes = append(s.Boxes, Box{Name: e.Box, Zone: e.Zone})
	slices.SortFunc(s.Boxes, func(a, b Box) int { return compare(a.Name, b.Name) })
	return nil
}

func (s *State) propose(index uint64, e *Entry) error {
	if p := s.Plan(e.Plan.ID); p != nil {
		if p.By == e.Plan.By && p.Reason == e.Plan.Reason && slices.Equal(p.Boxes, e.Plan.Boxes) && p.Most == e.Plan.Most &&
			p.Floor == e.Plan.Floor && p.Deadline == e.Plan.Deadline {
			return nil // given again: its answer was lost
		}
		return fmt.Errorf("plan %s: there is another of that name: %w", p.ID, ErrInvalid)
	}
	p := e.Plan
	if err := s.check(&p); err != nil {
		return err
	}
	if len(s.Plans) >= MaxPlans {
		i := slices.IndexFunc(s.Plans, func(p Plan) bool { return p.State.over() && !s.holds(&p) })
		if i < 0 {
			return fmt.Errorf("plan %s: %d plans are open: %w", p.ID, len(s.Plans), ErrInvalid)
		}
		s.Plans = slices.Delete(s.Plans, i, i+1)
	}
	p.State, p.Order, p.Gone, p.Index = Waiting, nil, nil, index
	p.Boxes = slices.Clone(p.Boxes)
	s.Plans = append(s.Plans, p)
	s.settle()
	return nil
}

// holds tells that a box still has a plan's grant.
func (s *State) holds(p *Plan) bool {
	return slices.ContainsFunc(s.Boxes, func(b Box) bool { return b.Plan == p.ID })
}

// arrange takes the order of what a plan has left to grant.
func (s *State) arrange(p *Plan, e *Entry) error {
	if p.State != Running {
		return fmt.Errorf("plan %s is %s: %w", p.ID, p.State, ErrPhase)
	}
	if !covers(e.Order, s.left(p)) {
		return fmt.Errorf("plan %s: the order is not of just the boxes that are left: %w", p.ID, ErrInvalid)
	}
	p.Order = slices.Clone(e.Order)
	return nil
}

// covers tells that an order is of just the boxes that are left, which are sorted.
func covers(order []Place, left []string) bool {
	names := make([]string, len(order))
	for i, x := range order {
		names[i] = x.Box
	}
	slices.Sort(names)
	return slices.Equal(names, left)
}

// left is what a plan has not granted yet, sorted.
func (s *State) left(p *Plan) []string {
	var out []string
	for _, name := range p.Boxes {
		if b := s.Box(name); b.Plan != p.ID && !slices.Contains(p.Gone, name) {
			out = append(out, name)
		}
	}
	return out
}

// grant lets the first in a plan's order begin to drain.
func (s *State) grant(index uint64, p *Plan, e *Entry) error {
	b := s.Box(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("box %q: %w", e.Box, ErrUnknown)
	case p.State != Running:
		return fmt.Errorf("plan %s is %s: %w", p.ID, p.State, ErrPhase)
	case len(p.Order) == 0 || p.Order[0].Box != b.Name:
		return fmt.Errorf("box %s is not the next of plan %s: %w", b.Name, p.ID, ErrPhase)
	case b.Phase != In || b.Incarnation != e.Incarnation:
		return fmt.Errorf("box %s is %s in incarnation %d, granted %d: %w", b.Name, b.Phase, b.Incarnation, e.Incarnation, ErrPhase)
	}
	if n := s.unavailable(e.Missing, b.Name); n+1 > p.Most {
		return fmt.Errorf("box %s would be number %d of %d that plan %s lets be missing: %w", b.Name, n+1, p.Most, p.ID, ErrBound)
	}
	p.Order = slices.Delete(slices.Clone(p.Order), 0, 1)
	b.Phase, b.Plan, b.Index = Granted, p.ID, index
	return nil
}

// unavailable counts all boxes but one that are away by the log or named as missing.
func (s *State) unavailable(missing []string, but string) int {
	n := 0
	for i := range s.Boxes {
		if b := &s.Boxes[i]; b.Name != but && (b.away() || slices.Contains(missing, b.Name)) {
			n++
		}
	}
	return n
}

// step takes a box's word on itself. Any new process says that it has come up cold, and is known by its incarnation
// from then on; one that died before it was out for its plan has its place in the line again once it is back. The
// same process may return too, where the work did not end it.
func (s *State) step(index uint64, e *Entry) error {
	b := s.Box(e.Box)
	if b == nil {
		return fmt.Errorf("box %q: %w", e.Box, ErrUnknown)
	}
	fresh := e.Incarnation != b.Incarnation
	switch {
	case e.Incarnation == 0, fresh && e.Incarnation < b.Incarnation:
		return fmt.Errorf("box %s is in incarnation %d, %d spoke: %w", b.Name, b.Incarnation, e.Incarnation, ErrPhase)
	case fresh && e.Phase != Returning, !fresh && e.Phase == Returning && b.Phase < Out,
		e.Phase == Draining && b.Phase > Draining, e.Phase == Draining && b.Phase == In,
		e.Phase == Out && b.Phase != Draining && b.Phase != Out, e.Phase == Granted:
		return fmt.Errorf("box %s is %s, and said %s: %w", b.Name, b.Phase, e.Phase, ErrPhase)
	case e.Phase == In && b.Phase == Granted:
		return fmt.Errorf("box %s has a grant to use: %w", b.Name, ErrPhase)
	case e.Phase == In && b.Phase == Out:
		return fmt.Errorf("box %s is out, and its new process has said nothing: %w", b.Name, ErrPhase)
	case e.Phase == In && b.Phase == Draining && !s.ended(b.Plan):
		return fmt.Errorf("box %s drains for plan %s, which goes on: %w", b.Name, b.Plan, ErrPhase)
	}
	b.Incarnation = e.Incarnation
	if e.Phase == b.Phase {
		return nil
	}
	b.Phase, b.Index = e.Phase, index
	switch e.Phase {
	case Out:
		b.WasOut = true
	case Returning: // counted again, whatever was said of it
		b.WrittenOff = ""
	case In:
		if p := s.Plan(b.Plan); p != nil && b.WasOut && !slices.Contains(p.Gone, b.Name) {
			p.Gone = append(p.Gone, b.Name)
		}
		b.Plan, b.WasOut = "", false
	}
	s.settle()
	return nil
}

func (s *State) ended(plan string) bool {
	p := s.Plan(plan)
	return p == nil || p.State.over()
}

// writeOff records an operator's word that a box is not to be waited for.
func (s *State) writeOff(index uint64, e *Entry) error {
	b := s.Box(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("box %q: %w", e.Box, ErrUnknown)
	case e.By == "" || e.Why == "" || len(e.By) > maxName || len(e.Why) > maxReason:
		return fmt.Errorf("box %s is written off by somebody, for some reason: %w", b.Name, ErrInvalid)
	case b.Phase == In:
		return fmt.Errorf("box %s is in, and counts for nothing: %w", b.Name, ErrPhase)
	}
	b.WrittenOff, b.Index = e.By+": "+e.Why, index
	if p := s.Plan(b.Plan); p != nil && !slices.Contains(p.Gone, b.Name) {
		p.Gone = append(p.Gone, b.Name)
	}
	s.settle()
	return nil
}

// leave takes a box out of the fleet, on an operator's word, and out of all plans. One that lives all the same comes
// again as a new member.
func (s *State) leave(e *Entry) error {
	b := s.Box(e.Box)
	switch {
	case b == nil:
		return fmt.Errorf("box %q: %w", e.Box, ErrUnknown)
	case e.By == "" || e.Why == "" || len(e.By) > maxName || len(e.Why) > maxReason:
		return fmt.Errorf("box %s is written off by somebody, for some reason: %w", b.Name, ErrInvalid)
	case len(s.Boxes) == 1:
		return fmt.Errorf("box %s is the last: %w", b.Name, ErrInvalid)
	}
	is := func(name string) bool { return name == e.Box }
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Boxes = slices.DeleteFunc(slices.Clone(p.Boxes), is)
		p.Gone = slices.DeleteFunc(slices.Clone(p.Gone), is)
		p.Order = slices.DeleteFunc(slices.Clone(p.Order), func(x Place) bool { return is(x.Box) })
	}
	s.Boxes = slices.DeleteFunc(s.Boxes, func(x Box) bool { return is(x.Name) })
	s.settle()
	return nil
}

// settle moves plans on by what the boxes have done: those that wait for no other begin, in the order in which they
// were proposed, and those with nothing left are done.
func (s *State) settle() {
	taken := map[string]bool{}
	for i := range s.Plans {
		p := &s.Plans[i]
		if p.State.over() {
			continue
		}
		if len(p.Gone) == len(p.Boxes) {
			p.State, p.Order = Done, nil
			continue
		}
		free := true
		for _, name := range p.Boxes {
			b := s.Box(name)
			free = free && !taken[name] && (b.Plan == "" || b.Plan == p.ID)
		}
		for _, name := range p.Boxes {
			taken[name] = true
		}
		switch {
		case p.State == Waiting && free:
			p.State = Running
		case p.State == Running && !free:
			p.State = Waiting
		}
	}
}
