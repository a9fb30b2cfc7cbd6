package hollow

// Standing sums up how the fleet stands as some servers see it.
type Standing struct {
	Servers int
	Known   int    // servers that know a leader
	Leased  int    // servers whose lease runs
	Leader  string // "" = none of them leads
	Term    uint64 // the highest
	Members Range
	Voters  Range
	Lives   Range
	Index   Range
}

// Range is the least and the most of what servers see.
type Range struct{ Least, Most uint64 }

func (r Range) is(n uint64) bool { return r.Least == n && r.Most == n }

func (r Range) join(other Range) Range {
	return Range{min(r.Least, other.Least), max(r.Most, other.Most)}
}

// standing is how the fleet stands as this server sees it.
func (s *Server) standing() Standing {
	m := s.metrics()
	one := func(name string) Range { return Range{m[name], m[name]} }
	out := Standing{Servers: 1, Term: m["fleet.term"], Members: one("fleet.members"), Voters: one("fleet.voters"),
		Lives: one("fleet.lives"), Index: one("fleet.index")}
	out.Known = int(m["fleet.known"])
	if m["fleet.leader"] == 1 {
		out.Leader = s.config.Name
	}
	if m["fleet.lease_ms"] > 0 {
		out.Leased = 1
	}
	return out
}

// Join sums up two standings of different servers. Of two that lead the one in the later term counts.
func (s Standing) Join(other Standing) Standing {
	if s.Servers == 0 {
		return other
	}
	if other.Servers == 0 {
		return s
	}
	out := Standing{Servers: s.Servers + other.Servers, Known: s.Known + other.Known, Leased: s.Leased + other.Leased,
		Leader: s.Leader, Term: max(s.Term, other.Term),
		Members: s.Members.join(other.Members), Voters: s.Voters.join(other.Voters),
		Lives: s.Lives.join(other.Lives), Index: s.Index.join(other.Index)}
	if s.Leader == "" || other.Leader != "" && other.Term > s.Term {
		out.Leader = other.Leader
	}
	return out
}

// settled tells that all servers of a fleet see each other as members, under one leader and up to the same entry.
func (s Standing) settled(servers int, leases bool) bool {
	n := uint64(servers)
	if s.Servers != servers || s.Known != servers || s.Leader == "" || !s.Members.is(n) || s.Index.Least != s.Index.Most {
		return false
	}
	return !leases || s.Leased == servers && s.Lives.is(n)
}
