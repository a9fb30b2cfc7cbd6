package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"larchscale/internal/fleet/lease"
	"larchscale/internal/fleet/takeover"
	"larchscale/internal/standin"
)

type handCmd struct {
	Boxes   int           `default:"3" help:"Real processes of each of the two fleets, in three zones."`
	Tries   int           `default:"1000" help:"Requests of each kind, one after the other, at each fleet."`
	Callers int           `default:"32" help:"Requests open at a time at a fleet for its throughput."`
	Load    time.Duration `default:"4s" help:"Of throughput."`
	Work    time.Duration `default:"5ms" help:"Of a run."`
	Strikes int           `default:"24" help:"Keyed writes in hand at the box that is killed."`
}

// Run measures what keyed work that outlives its box costs, beside a fleet of the same program with take_over off in
// the same minute, and what comes of work in hand at a box that is killed.
func (c handCmd) Run(r *report) error {
	home, program, clean, err := built()
	if err != nil {
		return err
	}
	defer clean()
	var fleets [2]*standin.Fleet // off, on
	for i := range fleets {
		fleets[i], err = standin.NewFleet(program, filepath.Join(home, fmt.Sprint("fleet", i)), standin.FleetOptions{Boxes: c.Boxes, Zones: 3, Voters: 3,
			DrainMs: 300, SilentMs: 1500, Work: c.Work, Window: 3 * time.Second, Memory: 256, Direct: true, TakeOver: i == 1})
		if err != nil {
			return err
		}
		defer fleets[i].Close()
	}
	for _, f := range fleets {
		if err := f.Settle(30*time.Second, 3); err != nil {
			return err
		}
	}
	if err := standin.Until("each slice has its homes", 30*time.Second, func() bool {
		return !slices.Contains(fleets[1].Look(func(m *standin.Member) bool {
			x := m.Figures()
			return x["fleet.homes"] > 0 && x["fleet.bare"] == 0 && x["keys.shut"] == 0
		}), false)
	}); err != nil {
		return err
	}
	if err := c.delays(r, fleets); err != nil {
		return err
	}
	if err := c.throughput(r, fleets); err != nil {
		return err
	}
	if err := c.loss(r, fleets[1]); err != nil {
		return err
	}
	for i, name := range []string{"in hand", "that ended"} {
		bytes, err := pieceBytes(i == 1)
		if err != nil {
			return err
		}
		r.row("memory of a piece "+name+" at a home", bytes, "bytes")
	}
	return nil
}

// delays measures requests of both kinds, one after the other, at the two fleets in turn.
func (c handCmd) delays(r *report, fleets [2]*standin.Fleet) error {
	var took [2][2][]time.Duration // by keyed, by fleet
	var lines [2]*standin.Line
	for i, f := range fleets {
		var err error
		if lines[i], err = standin.DialLine(f.Members[0].Listen); err != nil {
			return err
		}
		defer lines[i].Close()
	}
	s := standin.NewStream("delays", 1)
	for n := range 2 * c.Tries {
		keyed := n % 2
		x := s.Next()
		if x.Class, x.Token = standin.Classes[keyed], ""; keyed == 1 {
			x.Token = fmt.Sprint("delays-", n)
		}
		for i := range fleets {
			x.Handle = fmt.Sprintf("%015x%d", n, i)
			began := time.Now()
			if end := lines[i].Do(x).End; end != "served" {
				return fmt.Errorf("request %d, %s: %s", n, x.Class, end)
			}
			took[keyed][i] = append(took[keyed][i], time.Since(began))
		}
	}
	at := func(keyed, fleet int, q float64) float64 {
		all := took[keyed][fleet]
		slices.Sort(all)
		return float64(all[int(q*float64(len(all)))]) / float64(time.Millisecond)
	}
	for keyed, bounds := range [2][2]float64{{0.5, 0}, {2, 10}} {
		name := [2]string{"without a key", "keyed"}[keyed]
		r.row(name+", 50th, off", at(keyed, 0, 0.5), "ms")
		r.most(name+", 50th, more with it on", at(keyed, 1, 0.5)-at(keyed, 0, 0.5), "ms", bounds[0])
		r.row(name+", 99th, off", at(keyed, 0, 0.99), "ms")
		if more := at(keyed, 1, 0.99) - at(keyed, 0, 0.99); bounds[1] > 0 {
			r.most(name+", 99th, more with it on", more, "ms", bounds[1])
		} else {
			r.row(name+", 99th, more with it on", more, "ms")
		}
	}
	return nil
}

// throughput measures how many keyed requests a second the two fleets serve, each for half of the time in turns, and
// what that costs their processes.
func (c handCmd) throughput(r *report, fleets [2]*standin.Fleet) error {
	const turns = 8
	var served [2]int
	var used [2]float64
	for turn := range 2 * turns {
		i := turn % 2
		f := fleets[i]
		before, err := fleetCPU(f)
		if err != nil {
			return err
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		var failed error
		end := time.Now().Add(c.Load / turns)
		for caller := range c.Callers {
			all.Go(func() {
				line, err := standin.DialLine(f.Members[caller%len(f.Members)].Listen)
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
				defer line.Close()
				name := fmt.Sprintf("load%d-%d", turn, caller)
				s := standin.NewStream(name, 1)
				n := 0
				for k := 0; time.Now().Before(end); k++ {
					x := s.Next()
					x.Class, x.Token = standin.Classes[1], fmt.Sprintf("%s-%d", name, k)
					if line.Do(x).End == "served" {
						n++
					}
				}
				mu.Lock()
				served[i] += n
				mu.Unlock()
			})
		}
		all.Wait()
		if failed != nil {
			return failed
		}
		after, err := fleetCPU(f)
		if err != nil {
			return err
		}
		used[i] += after - before
	}
	if served[0] == 0 || served[1] == 0 {
		return errors.New("nothing was served")
	}
	for i, name := range []string{"off", "on"} {
		r.row("keyed requests, "+name, float64(served[i])/c.Load.Seconds(), "1/s")
		r.row("CPU of a keyed request, "+name, 1e6*used[i]/float64(served[i]), "µs")
	}
	r.least("throughput", float64(served[1])/float64(served[0]), "of off", 0.9)
	return nil
}

// fleetCPU is what all processes of a fleet have used so far.
func fleetCPU(f *standin.Fleet) (sum float64, err error) {
	for _, m := range f.Members {
		used, err := cpuSeconds(m.Pid())
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// loss kills a box with keyed work in hand, whose callers repeat elsewhere.
func (c handCmd) loss(r *report, f *standin.Fleet) error {
	m := f.Members[1]
	m.Site.SetWork(200 * time.Millisecond)
	a := standin.NewAudit(f, 1, standin.Repeats{Within: 8 * time.Second, Pause: 20 * time.Millisecond, Anywhere: true})
	defer a.Stop()
	next := f.Balance()
	if err := standin.Until("a door says yes", 5*time.Second, func() bool { return next() != nil }); err != nil {
		return err
	}
	var began time.Time
	ended := a.StrikeBy(m, c.Strikes, func() {
		began = time.Now()
		m.Kill()
	})
	first := time.Duration(0)
	err := standin.Until("a run is taken over", 15*time.Second, func() bool {
		is := slices.Contains(f.Look(func(m *standin.Member) bool { return m.Figures()["keys.ended"] > 0 }), true)
		if is && first == 0 {
			first = time.Since(began)
		}
		return is
	})
	if err != nil {
		return err
	}
	r.most("loss to the first taken-over run's end", first.Seconds(), "s", lease.MeshTerms.Length.Seconds()+1)
	struck, survived := ended()
	if struck == 0 {
		return errors.New("nothing was in hand at the box that was killed")
	}
	r.row("keyed work in hand at the killed box", float64(struck), "count")
	r.least("of it came to its result", float64(survived)/float64(struck), "share", 0.8)
	a.Stop()
	r.most("double runs", float64(len(a.Account().Twice)), "count", 0)
	return nil
}

// pieceBytes is what a home's record of a piece takes, with a body of 256 bytes, or with a result as long once it has ended.
func pieceBytes(ended bool) (float64, error) {
	const pieces = 20_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const home, holder = "n1", "n2"
	box := func(name string) *takeover.Machine {
		h := takeover.New(takeover.Limits{})
		h.SetView(0, takeover.View{Epoch: 1, Self: name, Token: 1, Tokens: map[string]uint64{home: 1, holder: 1},
			Replicas: func(int) []string { return []string{home} }, NewShard: func(int) bool { return true }}, time.Hour)
		return h
	}
	before := heap()
	h := box(home)
	from := box(holder) // gone when the home is measured
	carry := func() {
		for _, m := range from.TakeOutputs(0).Sends {
			h.Receive(0, holder, m.Msg)
		}
		for _, m := range h.TakeOutputs(0).Sends {
			from.Receive(0, home, m.Msg)
		}
	}
	for i := range pieces {
		k := takeover.Key{Class: standin.Classes[1], Token: fmt.Sprintf("%032d", i)}
		from.Claim(0, 1, takeover.KeyedRequest{Key: k, Body: make([]byte, 256), Handle: fmt.Sprintf("%016x", i), Due: time.Minute, Life: time.Minute})
		carry()
		if ended {
			from.Finish(0, k, 1, true, make([]byte, 256), "")
			carry()
		}
	}
	from = nil
	after := heap()
	if n := h.Metrics().Records; n != pieces {
		return 0, fmt.Errorf("a home has %d of %d pieces", n, pieces)
	}
	return float64(after-before) / pieces, nil
}
