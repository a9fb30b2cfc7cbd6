package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"larchscale/internal/config"
	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/link"
)

// controlStatus is how a fleet with control nodes stands.
type controlStatus struct {
	Fleet    driver.Status
	Sessions controlnode.Status
}

// sessions asks how the sessions stand: the leader, which alone knows all of them, or else the node that is named.
func (a *atFleet) sessions() (s controlnode.Status, err error) {
	own, err := a.target()
	if err != nil {
		return s, err
	}
	ask := func(t target) error {
		return t.ask(func(ctx context.Context, c *link.Client) error {
			return driver.FetchModuleStatus(ctx, c, controlnode.SessionPart, &s)
		})
	}
	if err := ask(own); err != nil || s.Leads || s.Leader == "" {
		return s, err
	}
	file, err := config.LoadControl(a.Control)
	if err != nil {
		return s, badInput{err}
	}
	here := s
	if err := ask(target{own.way, here.Leader, file.Addr(here.Leader)}); err != nil {
		return here, nil // what this node knows is better than nothing
	}
	return s, nil
}

// sessionStatus writes how the sessions stand.
func sessionStatus(w io.Writer, s controlnode.Status) {
	rows := [][]string{{"node", "region", "sessions", "revision"}}
	for _, n := range s.Nodes {
		rows = append(rows, []string{n.Name, name(n.Region), fmt.Sprint(n.Sessions), fmt.Sprint(n.Revision)})
	}
	table(w, rows)
	if !s.Leads {
		fmt.Fprintf(w, "the configuration is at revision %d; which servers have it, only the leader knows\n", s.Configuration)
		return
	}
	fmt.Fprintf(w, "the configuration is at revision %d: %d of %d servers with a session are behind", s.Configuration, s.Behind, s.Servers)
	if s.Behind > 0 {
		fmt.Fprintf(w, ", first %s", strings.Join(s.FirstBehind, ", "))
	}
	fmt.Fprintln(w)
}
