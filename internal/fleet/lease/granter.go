package lease

import (
	"fmt"
	"time"
)

// maxRounds bounds the rounds that wait for a majority. Those older than a lease are worth nothing and are dropped.
const maxRounds = 16

// known is what a leader knows of one life.
type known struct {
	life  uint64
	heard time.Duration // when it was last asked for, or the leader's start for it
	over  bool          // proposed as lost: nothing is granted to it
}

// round is a read index that was asked for, with the renewals that had come before.
type round struct {
	id    uint64
	began time.Duration
	asked map[string]Renewal // by box, the newest
}

// Granter is the leader's side. Renewals wait until a round of raft's read index that began after they came was
// confirmed by a majority: this box then led when they were sent, or later. Times are of the leader's own process.
// It has to be made by NewGranter.
type Granter struct {
	terms   Terms
	term    uint64 // 0 = it does not lead
	known   map[string]*known
	waiting map[string]Renewal
	rounds  []round
	last    uint64        // round; growing over all terms of this process
	looked  time.Duration // when it last looked for who is over
}

// NewGranter returns a granter that does not lead.
func NewGranter(terms Terms) *Granter { return &Granter{terms: terms} }

// Lead begins a term: everybody counts as asked for just now, for no grant of an earlier leader is for a renewal sent
// later than this. Told again of the same term it changes nothing. now must be read after the election.
func (g *Granter) Lead(term uint64, now time.Duration) {
	if g.term == term {
		return
	}
	g.Follow()
	g.term, g.looked = term, now
	g.known, g.waiting = map[string]*known{}, map[string]Renewal{}
}

// Follow ends the term. Rounds that are not confirmed never are.
func (g *Granter) Follow() { *g = Granter{terms: g.terms, last: g.last} }

// know gives what is known of a box's present life. One that it meets for the first time counts as asked for just now.
func (g *Granter) know(b *Box, now time.Duration) *known {
	k := g.known[b.Name]
	if k == nil || k.life != b.Life {
		k = &known{life: b.Life, heard: now}
		g.known[b.Name] = k
	}
	return k
}

// Asked takes a renewal. now must be read after it came. An error tells why nothing will be granted.
func (g *Granter) Asked(s *State, r Renewal, now time.Duration) error {
	b := s.Box(r.Box)
	switch {
	case g.term == 0:
		return ErrFollows
	case b == nil:
		return fmt.Errorf("box %.70q asks for a lease: %w", r.Box, ErrUnknown)
	case b.Life != r.Life || b.Lost:
		return fmt.Errorf("box %s asks as %d, the log has it as %d, lost %v: %w", b.Name, r.Life, b.Life, b.Lost, ErrLife)
	}
	k := g.know(b, now)
	if k.over {
		return fmt.Errorf("box %s was proposed as lost as %d: %w", b.Name, b.Life, ErrLife)
	}
	k.heard = now
	if r.Seq > g.waiting[b.Name].Seq || r.Life != g.waiting[b.Name].Life {
		g.waiting[b.Name] = r
	}
	return nil
}

// Round begins a round with what waits; false = there is nothing, or too many are on their way. Its read index has to
// be asked for after this.
func (g *Granter) Round(now time.Duration) (id uint64, ok bool) {
	for len(g.rounds) > 0 && now-g.rounds[0].began > g.terms.Length {
		g.rounds = g.rounds[1:]
	}
	if len(g.waiting) == 0 || len(g.rounds) == maxRounds {
		return 0, false
	}
	g.last++
	g.rounds = append(g.rounds, round{g.last, now, g.waiting})
	g.waiting = map[string]Renewal{}
	return g.last, true
}

// Confirmed gives the grants of a round that a majority confirmed, and with it of all earlier ones: it began after
// their renewals came too. All up to the round's read index must be applied in s.
func (g *Granter) Confirmed(s *State, id uint64) (grants []Grant) {
	newest := map[string]Renewal{}
	for len(g.rounds) > 0 && g.rounds[0].id <= id {
		for name, r := range g.rounds[0].asked {
			newest[name] = r
		}
		g.rounds = g.rounds[1:]
	}
	for i := range s.Boxes {
		b := &s.Boxes[i]
		r, ok := newest[b.Name]
		if ok && s.Lives(b.Name, r.Life) && !g.known[b.Name].over {
			grants = append(grants, Grant{r.Box, r.Life, r.Seq, g.terms.Length})
		}
	}
	return grants
}

// Over gives the entries to propose, in this term alone, of those whose lease is over by every clock. Nothing is
// granted to them from then on, unless the proposal is Refused. A leader that has not looked for half a lease was
// stopped itself: what was sent meanwhile may wait unread, so everybody starts anew.
func (g *Granter) Over(s *State, now time.Duration) (lost []Entry) {
	if g.term == 0 {
		return nil
	}
	slept := now-g.looked > g.terms.Length/2
	g.looked = now
	for i := range s.Boxes {
		b := &s.Boxes[i]
		if b.Lost {
			continue
		}
		k := g.know(b, now)
		if slept {
			k.heard = now
		}
		if !k.over && now-k.heard >= g.terms.Patience() {
			k.over = true
			lost = append(lost, Entry{Kind: Lost, Box: b.Name, Life: b.Life})
		}
	}
	for name := range g.known {
		if s.Box(name) == nil {
			delete(g.known, name)
		}
	}
	return lost
}

// Refused tells that a proposal of Over is in no log, nor ever will be, or was applied to no effect. The life may be
// granted a lease again.
func (g *Granter) Refused(box string, life uint64) {
	if k := g.known[box]; k != nil && k.life == life {
		k.over = false
	}
}
