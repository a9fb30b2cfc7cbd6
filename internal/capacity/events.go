package capacity

import "strings"

// Event is something that happens to the fleet.
type Event struct {
	Name    string
	Load    Count    // what it asks of the control plane
	Records []string // beginnings of the names of measurements of it
	Callers []string // the same, of what callers see
}

// Events are those that the fleet must stand.
func Events() []Event {
	servers := func(s Size) float64 { return s.Servers }
	zone := func(s Size) float64 { return s.Servers / s.Zones }
	return []Event{
		event("failures and restarts of a day", "servers that leave and return a day", func(s Size) float64 { return s.Failures + s.Restarts }, "day"),
		event("a rack or switch", "not stated: servers of a rack", nil, "rack"),
		event("a control node", "sessions that move: servers / control nodes", func(s Size) float64 { return s.Servers / s.ControlNodes }, "failover.follower"),
		event("the leader", "servers that wait for the next", servers, "failover.leader"),
		event("all control nodes at once", "servers without leases", servers, "outage"),
		event("a zone lost and returning", "servers at once", zone, "zone"),
		event("regions apart for an hour, then together", "servers of the lesser region", func(s Size) float64 { return s.Servers / s.Regions }, "regions"),
		event("a rolling release of all", "servers replaced", servers, "release"),
		event("a configuration change during each", "servers that must hear of it", servers, "config"),
		event("first start of everything at once", "servers that join", servers, "build", "start"),
	}
}

func event(name, expression string, of func(Size) float64, parts ...string) Event {
	e := Event{Name: name, Load: Count{expression, of}}
	for _, part := range parts {
		for _, design := range []string{designLearner, designSession} {
			e.Records = append(e.Records, design+"."+part)
			e.Callers = append(e.Callers, design+".callers."+part)
		}
	}
	return e
}

// EventsTable writes the events at two sizes.
func EventsTable(events []Event, rows []Row, recording *Recording, small, large Size) (string, error) {
	var lines [][]string
	for _, e := range events {
		load := e.Load.Expression
		if e.Load.Of != nil {
			load += ": " + formatNumber(e.Load.Of(small)) + " / " + formatNumber(e.Load.Of(large))
		}
		times, err := recordedUnder(e.Records, rows, recording, small)
		if err != nil {
			return "", err
		}
		callers, err := recordedUnder(e.Callers, rows, recording, small)
		if err != nil {
			return "", err
		}
		lines = append(lines, []string{e.Name, load, times, callers})
	}
	return table([]string{"event", "load at target / twice (counted)", "time at the target", "what callers see"}, lines), nil
}

// recordedUnder writes the measured rows whose names begin with one of prefixes.
func recordedUnder(prefixes []string, rows []Row, recording *Recording, size Size) (string, error) {
	var parts []string
	for i := range rows {
		r := &rows[i]
		if r.Measurement == "" || recording.Find(r.Measurement) == nil || !beginsWithAny(r.ID, prefixes) {
			continue
		}
		cell, err := r.Cell(recording, size)
		if err != nil {
			return "", err
		}
		parts = append(parts, "`"+r.ID+"` "+formatCell(cell, r.Unit))
	}
	if len(parts) == 0 {
		return string(NotMeasured), nil
	}
	return strings.Join(parts, "; "), nil
}

func beginsWithAny(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if name == p || strings.HasPrefix(name, p+".") {
			return true
		}
	}
	return false
}
