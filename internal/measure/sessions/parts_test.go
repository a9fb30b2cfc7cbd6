package sessions

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"larchscale/internal/fleet/controlclient"
	"larchscale/internal/fleet/session"
)

func TestOptionsCheck(t *testing.T) {
	good := Options{Servers: 740, Real: 10, Bare: 10, Nodes: 5, Zones: 5, Regions: 2, ByZone: true}
	for name, c := range map[string]struct {
		change  func(*Options)
		refused bool
	}{
		"the planned size":       {func(*Options) {}, false},
		"twice the size":         {func(o *Options) { o.Servers = 1480 }, false},
		"past the fleet's bound": {func(o *Options) { o.Servers = 1532 }, true},
		"an even number":         {func(o *Options) { o.Nodes = 4 }, true},
		"too many nodes":         {func(o *Options) { o.Nodes = 9 }, true},
		"no nodes":               {func(o *Options) { o.Nodes = 0 }, true},
		"no zones":               {func(o *Options) { o.Zones = 0 }, true},
		"more regions":           {func(o *Options) { o.Regions = 6 }, true},
		"no hollow server":       {func(o *Options) { o.Servers = 12 }, true},
		"too many processes":     {func(o *Options) { o.Real, o.Bare = 150, 60 }, true},
		"too much memory":        {func(o *Options) { o.Nodes, o.Real, o.Bare = 7, 180, 1; o.Servers = 1480 }, false},
	} {
		options := good
		c.change(&options)
		err := options.Check()
		if errors.Is(err, ErrLimit) != c.refused || (err != nil) != c.refused {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// All hollow servers are shared out, by zone and without.
func TestWorkers(t *testing.T) {
	for servers, want := range map[int]int{100: 1, 200: 1, 400: 3, 740: 7, 1480: 14} {
		o := Options{Servers: servers, Real: 10, Nodes: 5, Zones: 5, Regions: 2}
		for _, byZone := range []bool{false, true} {
			o.ByZone = byZone
			sum := 0
			for _, size := range o.workers() {
				sum += size
				if size > 2*MaxPerWorker {
					t.Errorf("%d servers: a worker has %d", servers, size)
				}
			}
			if sum != o.hollow() {
				t.Errorf("%d servers: workers have %d of %d hollow ones", servers, sum, o.hollow())
			}
			if !byZone && len(o.workers()) != want {
				t.Errorf("%d servers: %d workers, not %d", servers, len(o.workers()), want)
			}
		}
	}
}

func TestRegions(t *testing.T) {
	o := Options{Zones: 5, Regions: 2}
	for zone, want := range []int{0, 0, 0, 1, 1} {
		if got := o.regionOf(zone); got != want {
			t.Errorf("zone %d is in region %d, not %d", zone, got, want)
		}
	}
}

// A view that skips, repeats or invents a change is found out.
func TestOrder(t *testing.T) {
	expected := []uint64{11, 12, 14}
	for name, c := range map[string]struct {
		seen            []uint64
		missed, foreign int
		repeated        uint64
	}{
		"all":         {[]uint64{11, 12, 14}, 0, 0, 0},
		"one missing": {[]uint64{11, 14}, 1, 0, 0},
		"one twice":   {[]uint64{11, 12, 12, 14}, 0, 1, 1},
		"out of turn": {[]uint64{11, 14, 12}, 0, 0, 1},
		"one more":    {[]uint64{11, 12, 13, 14}, 0, 1, 0},
		"none":        {nil, 3, 0, 0},
	} {
		o := order{last: 10}
		for _, revision := range c.seen {
			o.take(revision, false)
		}
		missed, foreign := o.missed(expected)
		if missed != c.missed || foreign != c.foreign || o.repeated != c.repeated {
			t.Errorf("%s: %d missed, %d foreign, %d repeated", name, missed, foreign, o.repeated)
		}
	}
	o := order{last: 10}
	o.take(14, true)
	o.take(12, true) // in the order of keys
	o.take(15, false)
	if o.repeated != 0 || o.snapshots != 2 || o.last != 15 {
		t.Errorf("after a whole copy: %+v", o)
	}
}

// A lease ends at its own end, or when the server learns that its token is another's; that it still runs then is noted.
func TestEndedLeases(t *testing.T) {
	s, err := newHollowServer(Config{Name: "server0001", Zone: "z1", Nodes: []string{"c1=127.0.0.1:1"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.event(session.Event{Kind: session.LeaseBegan}, controlclient.Lease{Token: 7})
	s.event(session.Event{Kind: session.LeaseEnded}, controlclient.Lease{Token: 7, Until: time.Nanosecond}) // of the machine's first moment
	s.event(session.Event{Kind: session.LeaseBegan}, controlclient.Lease{Token: 9})
	s.event(session.Event{Kind: session.LeaseEnded}, controlclient.Lease{}) // its metrics say that nothing is left
	if len(s.holds.ended) != 2 || s.holds.ended[0].Token != 7 || s.holds.ended[1].Token != 9 || s.events.LeasesEnded != 2 || s.events.Overlaps != 0 {
		t.Errorf("%+v, %+v", s.holds, s.events)
	}
	if at := s.holds.ended[0].Until; !at.Before(time.Now().Add(-time.Second)) {
		t.Errorf("a lease of long ago ended at %s", at)
	}
	held := serverLease{LeaseHistory{Token: 9, Held: 9, Ended: s.holds.ended}, false}
	if until, known := held.heldUntil(7); !known || !until.Equal(s.holds.ended[0].Until) {
		t.Errorf("%s, %t", until, known)
	}
	if _, known := held.heldUntil(8); known {
		t.Error("a token that was never held is known")
	}
}

func TestDeclarations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log.txt")
	before := "time=2026-01-02T03:04:05.006Z level=WARN msg=fleet node=c1 do=lost server=server0003 token=5\n"
	after := "time=2026-01-02T03:04:06.007Z level=WARN msg=fleet node=c1 do=lost server=server0004 token=6 left_out=3\n" +
		"time=2026-01-02T03:04:07.008Z level=INFO msg=fleet node=c1 do=phase box=server0004 phase=in index=9\n"
	if err := os.WriteFile(path, []byte(before+after), 0o600); err != nil {
		t.Fatal(err)
	}
	list, err := declarations(path, int64(len(before)))
	want := time.Date(2026, 1, 2, 3, 4, 6, 7_000_000, time.UTC)
	if err != nil || len(list) != 1 || list[0].server != "server0004" || list[0].token != 6 || !list[0].at.Equal(want) {
		t.Errorf("%+v, %v", list, err)
	}
}

// A fleet that is other than what is allowed has violations.
func TestFindings(t *testing.T) {
	before := &Record{tokens: map[string]uint64{"a": 1, "b": 2, "c": 3}, ended: map[string]int{}}
	leases := map[string]serverLease{"a": {LeaseHistory: LeaseHistory{Token: 1}}, "b": {LeaseHistory: LeaseHistory{Token: 5}},
		"c": {LeaseHistory: LeaseHistory{Token: 3, Ended: []EndedLease{{Token: 3}}}}}
	x := &Findings{}
	x.lost(before, leases, func(server string) bool { return server == "b" })
	if x.Lost != 1 || x.Allowed != 1 || len(x.Violations) != 1 {
		t.Errorf("%+v", x)
	}
	for name, c := range map[string]struct {
		audit Audit
		kept  bool
	}{
		"one digest":      {Audit{Digests: map[uint64]int{7: 3}}, true},
		"another digest":  {Audit{Digests: map[uint64]int{7: 2, 8: 1}}, false},
		"a change twice":  {Audit{Digests: map[uint64]int{7: 3}, Repeated: 1}, false},
		"a change missed": {Audit{Digests: map[uint64]int{7: 3}, Missed: 1}, false},
		"a change more":   {Audit{Digests: map[uint64]int{7: 3}, Foreign: 1}, false},
	} {
		x := &Findings{}
		if x.audit(&c.audit, 7, 3); (len(x.Violations) == 0) != c.kept {
			t.Errorf("%s: %v", name, x.Violations)
		}
	}
}

func TestPercentile(t *testing.T) {
	var times []time.Duration
	for i := range 200 {
		times = append(times, time.Duration(i+1))
	}
	if got := percentile(times); got != 198 {
		t.Errorf("%d of 1 to 200", got)
	}
	if got := percentile(times[:1]); got != 1 {
		t.Errorf("%d of 1", got)
	}
}
