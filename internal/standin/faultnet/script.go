package faultnet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is one thing that goes wrong or is mended, after a pause.
type Step struct {
	Pause time.Duration
	Do    string   // one of those in deeds
	Who   []string // from and to, one side of a partition, or the process; none for heal
}

// deeds are what a step can do, with how many are named: 0 = any number but none, -1 = none.
var deeds = map[string]int{
	"refuse": 2, "drop": 2, "deaf": 2, "delay": 2, "throttle": 2, "sever": 2, "mend": 2, // on the way from one to another
	"part": 0,                                            // nothing passes between these and the others
	"heal": -1,                                           // all ways
	"kill": 1, "stop": 1, "go": 1, "start": 1, "wipe": 1, // a process; wipe = it is killed, and its disk is gone
}

// What the faults of a script amount to.
var faults = map[string]Fault{
	"refuse":   {Refuse: true},
	"drop":     {Drop: true},
	"deaf":     {Deaf: true},
	"delay":    {Delay: 150 * time.Millisecond},
	"throttle": {Rate: 2 << 10},
	"sever":    {Cut: 700},
	"mend":     {},
}

// String is the step as Parse reads it.
func (s Step) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", s.Pause, s.Do, strings.Join(s.Who, " ")))
}

// Script is what happens, in this order.
type Script []Step

// String has a line a step.
func (s Script) String() string {
	lines := make([]string, len(s))
	for i, x := range s {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// ErrScript is a text that is no script.
var ErrScript = errors.New("no script")

// Parse reads what String wrote.
func Parse(text string) (Script, error) {
	var out Script
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			return nil, fmt.Errorf("line %d: %q: %w", i+1, line, ErrScript)
		}
		pause, err := time.ParseDuration(f[0])
		n, known := deeds[f[1]]
		if err != nil || pause < 0 || !known || n > 0 && len(f) != 2+n || n < 0 && len(f) != 2 || n == 0 && len(f) < 3 {
			return nil, fmt.Errorf("line %d: %q: %w", i+1, line, ErrScript)
		}
		out = append(out, Step{pause, f[1], f[2:]})
	}
	return out, nil
}

// Draw makes a script of so many steps from a seed. Processes that are down or stopped come back by later steps, one
// disk at most is lost, and what is still wrong at the end is left so.
func Draw(seed uint64, names []string, steps int) Script {
	r := rand.New(rand.NewPCG(seed, 2))
	down, stopped := map[string]bool{}, map[string]bool{}
	wiped := false
	var out Script
	add := func(do string, who ...string) {
		out = append(out, Step{time.Duration(50+r.IntN(450)) * time.Millisecond, do, who})
	}
	pick := func(of map[string]bool) string {
		var list []string
		for n := range of {
			list = append(list, n)
		}
		slices.Sort(list)
		return list[r.IntN(len(list))]
	}
	ways := []string{"refuse", "drop", "deaf", "delay", "throttle", "sever"}
	for len(out) < steps {
		order := r.Perm(len(names))
		a, b := names[order[0]], names[order[1]]
		switch k := r.IntN(12); {
		case k < 4:
			add(ways[r.IntN(len(ways))], a, b)
		case k == 4:
			side := make([]string, 0, len(names)/2)
			for _, i := range order[:1+r.IntN(len(names)/2)] {
				side = append(side, names[i])
			}
			slices.Sort(side)
			add("part", side...)
		case k < 7:
			add("heal")
		case k == 7 && len(down) > 0:
			n := pick(down)
			delete(down, n)
			add("start", n)
		case k == 8 && len(stopped) > 0:
			n := pick(stopped)
			delete(stopped, n)
			add("go", n)
		case down[a] || stopped[a] || len(down)+len(stopped) >= 2:
		case k == 9:
			stopped[a] = true
			add("stop", a)
		case k == 10 && !wiped && r.IntN(4) == 0:
			wiped, down[a] = true, true
			add("wipe", a)
		case k > 9:
			down[a] = true
			add("kill", a)
		}
	}
	return out
}

// Processes are what a script kills, stops and starts. What cannot be done as things are (a process that is down is
// killed) does nothing.
type Processes interface {
	Kill(name string)
	Wipe(name string) // kill it, and its disk is gone
	Stop(name string) // SIGSTOP
	Go(name string)   // SIGCONT
	Start(name string) error
}

// Play has the script happen on a net and its processes; at tells of each step as it begins.
func (s Script) Play(ctx context.Context, n *Net, p Processes, at func(Step)) error {
	for _, x := range s {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(x.Pause):
		}
		at(x)
		if err := x.play(n, p); err != nil {
			return fmt.Errorf("%s: %w", x, err)
		}
	}
	return nil
}

func (s Step) play(n *Net, p Processes) error {
	switch s.Do {
	case "heal":
		n.Heal()
	case "part":
		n.Set(Fault{Drop: true}, func(from, to string) bool { return slices.Contains(s.Who, from) != slices.Contains(s.Who, to) })
	case "kill":
		p.Kill(s.Who[0])
	case "wipe":
		p.Wipe(s.Who[0])
	case "stop":
		p.Stop(s.Who[0])
	case "go":
		p.Go(s.Who[0])
	case "start":
		return p.Start(s.Who[0])
	default:
		n.Set(faults[s.Do], func(from, to string) bool { return from == s.Who[0] && to == s.Who[1] })
	}
	return nil
}
