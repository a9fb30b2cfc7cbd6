package controlclient

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"larchscale/internal/fleet/maintenance"
	"larchscale/internal/fleet/watch"
)

// update is the value of a key at a revision.
func update(revision uint64, key, value string) watch.Update {
	return watch.Update{Revision: revision, Key: key, Value: []byte(value)}
}

// Who puts the configuration in force gets each key's newest value, in the order of revisions, however slow it is; a
// revision without changes is told too.
func TestChangesThatWaitAreMerged(t *testing.T) {
	type call struct {
		Revision uint64
		Changed  []watch.Update
	}
	calls, release := make(chan call), make(chan struct{})
	f := newFeed(func(revision uint64, changed []watch.Update) {
		calls <- call{revision, changed}
		<-release
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	f.put(3, nil)
	same := cmp.Comparer(func(a, b watch.Update) bool {
		return a.Revision == b.Revision && a.Key == b.Key && string(a.Value) == string(b.Value) && a.Deleted == b.Deleted
	})
	if diff := cmp.Diff(call{3, []watch.Update{}}, <-calls, same); diff != "" {
		t.Error(diff)
	}
	f.put(5, []watch.Update{update(4, "b", "old"), update(5, "a", "1")})
	f.put(7, []watch.Update{update(6, "b", "new"), {Revision: 7, Key: "c", Deleted: true}})
	release <- struct{}{}
	if diff := cmp.Diff(call{7, []watch.Update{update(5, "a", "1"), update(6, "b", "new"), {Revision: 7, Key: "c", Deleted: true}}}, <-calls, same); diff != "" {
		t.Error(diff)
	}
	release <- struct{}{}
	stop()
	<-done
}

// body is a server whose load cannot be told, once so many looks are over.
type body struct {
	looks atomic.Int64
	held  atomic.Bool
}

func (b *body) Report() maintenance.Report {
	if b.looks.Add(1) > 3 {
		panic("no load")
	}
	return maintenance.Report{Warm: true}
}

func (b *body) HoldHealth(on bool) { b.held.Store(on) }

// A panic ends the session alone, and says so.
func TestAPanicEndsTheSessionAlone(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	options := Defaults()
	options.Nodes, options.Zone = []string{"c1=127.0.0.1:1"}, "a" // nobody listens there
	var logged strings.Builder
	c, err := New(options, Server{Name: "app-1", Body: &body{}, Applied: func() uint64 { return 0 }, Configure: func(uint64, []watch.Update) {}},
		slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	c.Run(t.Context())
	if !strings.Contains(logged.String(), "do=panic") || !strings.Contains(string(c.Metrics()), "fleet.session=4\n") {
		t.Errorf("logged %s, metrics %s", logged.String(), c.Metrics())
	}
}

// Nodes that cannot be are one line.
func TestParseNodes(t *testing.T) {
	for name, list := range map[string][]string{
		"no name":       {"=127.0.0.1:1"},
		"no address":    {"c1"},
		"a host's name": {"c1=example:1"},
		"no port":       {"c1=127.0.0.1"},
		"port 0":        {"c1=127.0.0.1:0"},
		"two names":     {"c1=127.0.0.1:1", "c1=127.0.0.1:2"},
		"two addresses": {"c1=127.0.0.1:1", "c2=127.0.0.1:1"},
		"a long name":   {strings.Repeat("c", 65) + "=127.0.0.1:1"},
		"too many":      strings.Split("1=127.0.0.1:1 2=127.0.0.1:2 3=127.0.0.1:3 4=127.0.0.1:4 5=127.0.0.1:5 6=127.0.0.1:6 7=127.0.0.1:7 8=127.0.0.1:8", " "),
	} {
		if nodes, err := ParseNodes("nodes", list); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, %v", name, nodes, err)
		}
	}
	nodes, err := ParseNodes("nodes", []string{"c1=127.0.0.1:1", "c2=[::1]:2"})
	if diff := cmp.Diff([]Node{{"c1", "127.0.0.1:1"}, {"c2", "[::1]:2"}}, nodes); diff != "" || err != nil {
		t.Errorf("%s, %v", diff, err)
	}
}
