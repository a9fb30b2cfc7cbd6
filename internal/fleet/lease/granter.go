package lease

import (
	"fmt"
	"time"
)

// maxRounds bounds the rounds that wait for a majority. Rounds older than a lease are useless and are dropped.
const maxRounds = 16

// tracked is what the leader tracks about one server under one fencing token.
type tracked struct {
	token     uint64
	renewedAt time.Duration // of the last renewal, or when this leader began to track the token
	proposed  bool          // proposed as expired: nothing is granted to it
}

// round is a read index that was requested, with the renewals that had arrived before.
type round struct {
	id        uint64
	startedAt time.Duration
	renewals  map[string]Renewal // the newest by server name
}

// Granter is the leader's side. Renewals wait until a majority has confirmed a round of raft's read index that began
// after they arrived: this server was then the leader when they were sent, or later. Times are of the leader's own
// process. A Granter must be created by NewGranter.
type Granter struct {
	terms     Terms
	term      uint64 // 0 = this server is not the leader
	servers   map[string]*tracked
	pending   map[string]Renewal
	rounds    []round
	lastRound uint64        // id of the last round; increases over all terms of this process
	checkedAt time.Duration // when expired leases were last looked for
}

// NewGranter returns a granter for a server that is not the leader.
func NewGranter(terms Terms) *Granter { return &Granter{terms: terms} }

// Lead begins a term. Every server counts as if it had renewed just now, because no grant of an earlier leader is for
// a renewal sent later than this. Repeating the call for the same term has no effect. now must be read after the
// election.
func (g *Granter) Lead(term uint64, now time.Duration) {
	if g.term == term {
		return
	}
	g.Follow()
	g.term, g.checkedAt = term, now
	g.servers, g.pending = map[string]*tracked{}, map[string]Renewal{}
}

// Follow ends the term. Unconfirmed rounds are discarded.
func (g *Granter) Follow() { *g = Granter{terms: g.terms, lastRound: g.lastRound} }

// track returns the state of a server's current token. A token seen for the first time counts as renewed just now.
func (g *Granter) track(server *Server, now time.Duration) *tracked {
	lease := g.servers[server.Name]
	if lease == nil || lease.token != server.Life {
		lease = &tracked{token: server.Life, renewedAt: now}
		g.servers[server.Name] = lease
	}
	return lease
}

// Renew accepts a renewal. now must be read after the renewal arrived. The error says why nothing will be granted.
func (g *Granter) Renew(s *State, r Renewal, now time.Duration) error {
	server := s.Server(r.Box)
	switch {
	case g.term == 0:
		return ErrNotLeader
	case server == nil:
		return fmt.Errorf("server %.70q requests a lease: %w", r.Box, ErrUnknown)
	case server.Life != r.Life || server.Lost:
		return fmt.Errorf("server %s renews token %d, the log has token %d, expired %v: %w", server.Name, r.Life,
			server.Life, server.Lost, ErrStaleToken)
	}
	lease := g.track(server, now)
	if lease.proposed {
		return fmt.Errorf("server %s was proposed as expired under token %d: %w", server.Name, server.Life, ErrStaleToken)
	}
	lease.renewedAt = now
	if r.Seq > g.pending[server.Name].Seq || r.Life != g.pending[server.Name].Life {
		g.pending[server.Name] = r
	}
	return nil
}

// BeginRound begins a round with the pending renewals. It returns false if there are none or too many rounds are in flight.
// The round's read index must be requested after this call.
func (g *Granter) BeginRound(now time.Duration) (id uint64, ok bool) {
	for len(g.rounds) > 0 && now-g.rounds[0].startedAt > g.terms.Length {
		g.rounds = g.rounds[1:]
	}
	if len(g.pending) == 0 || len(g.rounds) == maxRounds {
		return 0, false
	}
	g.lastRound++
	g.rounds = append(g.rounds, round{g.lastRound, now, g.pending})
	g.pending = map[string]Renewal{}
	return g.lastRound, true
}

// ConfirmRound returns the grants of a round that a majority confirmed, and those of all earlier rounds: the confirmed
// read index began after their renewals arrived too. All entries up to the round's read index must be applied to s.
func (g *Granter) ConfirmRound(s *State, id uint64) (grants []Grant) {
	newest := map[string]Renewal{}
	for len(g.rounds) > 0 && g.rounds[0].id <= id {
		for name, r := range g.rounds[0].renewals {
			newest[name] = r
		}
		g.rounds = g.rounds[1:]
	}
	for i := range s.Boxes {
		server := &s.Boxes[i]
		r, ok := newest[server.Name]
		if ok && s.IsCurrent(server.Name, r.Life) && !g.servers[server.Name].proposed {
			grants = append(grants, Grant{r.Box, r.Life, r.Seq, g.terms.Length})
		}
	}
	return grants
}

// ExpiredServers returns the entries to propose, in this term only, for the servers whose lease has ended by every clock.
// Nothing is granted to them from then on, unless ProposalFailed is called. A leader that has not
// called this for half a lease was itself stopped, and renewals sent meanwhile may still be unread: every server then
// counts as renewed just now.
func (g *Granter) ExpiredServers(s *State, now time.Duration) (expired []Entry) {
	if g.term == 0 {
		return nil
	}
	stalled := now-g.checkedAt > g.terms.Length/2
	g.checkedAt = now
	for i := range s.Boxes {
		server := &s.Boxes[i]
		if server.Lost {
			continue
		}
		lease := g.track(server, now)
		if stalled {
			lease.renewedAt = now
		}
		if !lease.proposed && now-lease.renewedAt >= g.terms.ExpiryDelay() {
			lease.proposed = true
			expired = append(expired, Entry{Kind: Expired, Box: server.Name, Life: server.Life})
		}
	}
	for name := range g.servers {
		if s.Server(name) == nil {
			delete(g.servers, name)
		}
	}
	return expired
}

// ProposalFailed reports that a proposal of ExpiredServers is in no log and never will be, or had no effect. The
// token may be granted a lease again.
func (g *Granter) ProposalFailed(server string, token uint64) {
	if lease := g.servers[server]; lease != nil && lease.token == token {
		lease.proposed = false
	}
}
