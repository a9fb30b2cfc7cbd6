package controlnode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchscale/internal/fleet/driver"
	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/session"
	"larchscale/internal/fleet/stream"
	"larchscale/internal/link"
)

// dial opens a stream to the first node with the certificate of a name.
func (f *tier) dial(name string) *stream.Conn {
	f.t.Helper()
	way := f.way(name)
	config, err := way.TLS()
	if err != nil {
		f.t.Fatal(err)
	}
	conn, err := (&stream.Dialer{TLS: config, Meter: &stream.Meter{}}).Dial(f.t.Context(), "c1", f.nodes[0].sessions)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(conn.Close)
	return conn
}

// refusal sends messages, and returns the refusal that ends the session.
func refusal(t *testing.T, conn *stream.Conn, messages ...*session.FromServer) *session.Refusal {
	t.Helper()
	for _, message := range messages {
		if err := conn.Send(message); err != nil {
			t.Fatal(err)
		}
	}
	for {
		answer, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if answer.Refusal != nil {
			return answer.Refusal
		}
	}
}

// Sessions under the name of another server, or of a control node, and messages that cannot be are refused as invalid, with
// a reason for people; a server's certificate lets nobody speak as a control node.
func TestRefusals(t *testing.T) {
	f := newTier(t, 1, 2, true)
	f.until("all servers have leases", f.settled)
	hello := func(server string) *session.FromServer {
		return &session.FromServer{Hello: &session.Hello{Server: server, Zone: "a", Incarnation: 7, Session: 1}}
	}
	first := &session.Heartbeat{Report: &maintenance.Report{Incarnation: 7, Warm: true}}
	proposing := func(p session.Proposal) *session.FromServer {
		heartbeat := *first
		heartbeat.Proposals = []session.Proposal{p}
		return &session.FromServer{Heartbeat: &heartbeat}
	}
	wrongFleet := hello("app-9")
	wrongFleet.Hello.Fleet = 99
	for name, c := range map[string]struct {
		messages []*session.FromServer
		code     session.RefusalCode
	}{
		"the name of another server":     {[]*session.FromServer{hello("app-1")}, session.Invalid},
		"the name of a control node":     {[]*session.FromServer{hello("c1")}, session.Invalid},
		"no name":                        {[]*session.FromServer{hello("")}, session.Invalid},
		"a long name":                    {[]*session.FromServer{hello(strings.Repeat("s", 65))}, session.Invalid},
		"a heartbeat first":              {[]*session.FromServer{{Heartbeat: first}}, session.Invalid},
		"nothing":                        {[]*session.FromServer{{}}, session.Invalid},
		"another fleet":                  {[]*session.FromServer{wrongFleet}, session.OtherFleet},
		"no report in the first":         {[]*session.FromServer{hello("app-9"), {Heartbeat: &session.Heartbeat{}}}, session.Invalid},
		"a proposal for another server":  {[]*session.FromServer{hello("app-9"), proposing(session.Proposal{Step: &maintenance.Entry{Kind: maintenance.Step, Box: "app-1", Incarnation: 7, Phase: maintenance.Returning}})}, session.Invalid},
		"a proposal for another process": {[]*session.FromServer{hello("app-9"), proposing(session.Proposal{Step: &maintenance.Entry{Kind: maintenance.Step, Box: "app-9", Incarnation: 8, Phase: maintenance.Returning}})}, session.Invalid},
		"a plan":                         {[]*session.FromServer{hello("app-9"), proposing(session.Proposal{Step: &maintenance.Entry{Kind: maintenance.Propose, Box: "app-9", Incarnation: 7}})}, session.Invalid},
		"the end of another's lease":     {[]*session.FromServer{hello("app-9"), proposing(session.Proposal{Live: &lease.Entry{Kind: lease.Expired, Box: "app-1", Life: 1}})}, session.Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			got := refusal(t, f.dial("app-9"), c.messages...)
			if got.Code != c.code || got.Reason == "" || len(got.Reason) > session.MaxReason {
				t.Errorf("%+v", got)
			}
		})
	}
	t.Run("an older process", func(t *testing.T) {
		newer := hello("app-9")
		newer.Hello.Incarnation = 8
		conn := f.dial("app-9")
		if err := conn.Send(newer); err != nil {
			t.Fatal(err)
		}
		if welcome, err := conn.Receive(); err != nil || welcome.Welcome == nil || welcome.Welcome.Node != "c1" || welcome.Welcome.Fleet == 0 {
			t.Fatalf("%+v, %v", welcome, err)
		}
		if got := refusal(t, f.dial("app-9"), hello("app-9")); got.Code != session.Superseded || got.Incarnation != 8 {
			t.Errorf("%+v", got)
		}
	})
	t.Run("a control node's words", func(t *testing.T) { f.onlyNodesSpeakAsNodes() })
	if status, err := f.nodes[0].state(); err != nil || status.State.Server("app-1").Phase != maintenance.InService || len(status.State.Plans) != 0 {
		t.Errorf("%+v, %v", status.State, err)
	}
	f.until("the two servers have their leases still", func() bool { return f.all(leased) && f.servers[0].lost.Load() == 0 && f.servers[1].lost.Load() == 0 })
}

// onlyNodesSpeakAsNodes asks with the certificate of a server for what nodes say to each other, and for what operators ask.
func (f *tier) onlyNodesSpeakAsNodes() {
	l, err := link.New(f.way("app-9"), f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	client := l.Dial("c1", f.nodes[0].addr)
	defer client.Close()
	ctx, stop := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer stop()
	for _, path := range []string{"/fleet/messages", "/fleet/part", "/fleet/report", "/fleet/knock", "/fleet/passed"} {
		if _, err := client.Post(ctx, path, nil); err == nil || !strings.Contains(err.Error(), fmt.Sprint(http.StatusForbidden)) {
			f.t.Errorf("%s with a server's certificate: %v", path, err)
		}
	}
	if _, err := driver.FetchStatus(ctx, client); err != nil {
		f.t.Errorf("the state with a server's certificate: %v", err)
	}
}
