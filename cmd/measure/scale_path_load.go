package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"larchscale/internal/standin"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	highestDelay = 60_000_000
	delayDigits  = 3
)

const (
	requestBudget = 8 * time.Second
	dialers       = 32 // connections that are being made at a time
	dialTries     = 5
)

// load is what one open-loop load measured.
type load struct {
	repeatable, keyed *hdrhistogram.Histogram // delay less the work of the run, in microseconds
	sender            *hdrhistogram.Histogram // lateness of sends against their intended times
	ends              map[string]int
	cpu               time.Duration // of the server
}

// generator sends requests at intended times on many connections.
type generator struct {
	server *server
	lines  []*standin.Line
	rand   *rand.Rand // of requests and times
	sent   int

	mu       sync.Mutex
	lineRand *rand.Rand // of lines
}

func newGenerator(s *server, seed uint64) *generator {
	return &generator{server: s, rand: rand.New(rand.NewPCG(seed, 1)), lineRand: rand.New(rand.NewPCG(seed, 2))}
}

// connect makes connections until there are count, each of which has asked for the health once.
func (g *generator) connect(count int) error {
	missing := count - len(g.lines)
	if missing <= 0 {
		return nil
	}
	lines := make([]*standin.Line, missing)
	slots := make(chan struct{}, dialers)
	var all sync.WaitGroup
	for i := range lines {
		slots <- struct{}{}
		all.Go(func() {
			lines[i] = dialHealthy(g.server.box.Listen)
			<-slots
		})
	}
	all.Wait()
	for _, line := range lines {
		if line == nil {
			return errors.New("a connection was not made")
		}
		g.lines = append(g.lines, line)
	}
	return nil
}

// dialHealthy makes a connection that was answered a health check; nil = it could not.
func dialHealthy(address string) *standin.Line {
	for range dialTries {
		line, err := standin.DialLine(address)
		if err != nil {
			continue
		}
		if line.Health() {
			return line
		}
		line.Close()
	}
	return nil
}

// alive counts the connections that the server has not ended.
func (g *generator) alive() int {
	count := 0
	for _, line := range g.lines {
		if !line.Closed() {
			count++
		}
	}
	return count
}

func (g *generator) close() {
	for _, line := range g.lines {
		line.Close()
	}
}

// request makes a request of a random class and tenant.
func (g *generator) request() (request standin.Request, keyed bool) {
	size := &g.server.size
	class := g.rand.IntN(len(size.Classes))
	g.sent++
	request = standin.Request{Handle: fmt.Sprintf("%016x", g.rand.Uint64()), Class: size.Classes[class],
		Stand: size.Tenants[g.rand.IntN(len(size.Tenants))], Budget: requestBudget, Body: fmt.Sprintf("request %d", g.sent)}
	if keyed = standin.Keyed(class); keyed {
		request.Token = fmt.Sprintf("token-%d", g.sent)
	}
	return request, keyed
}

// path has a request served one way, and returns how it ended.
type path func(request standin.Request) (end string)

// run sends count requests to the server.
func (g *generator) run(rate float64, count int) (*load, error) {
	before, err := cpuTime(g.server.box.Pid())
	if err != nil {
		return nil, err
	}
	result := g.send(rate, count, g.server.site, func(request standin.Request) string {
		g.mu.Lock()
		line := g.lines[g.lineRand.IntN(len(g.lines))]
		g.mu.Unlock()
		return line.Do(request).End
	})
	after, err := cpuTime(g.server.box.Pid())
	result.cpu = after - before
	return result, err
}

// send sends count requests at random intended times of a mean rate, whatever becomes of earlier ones. A request's
// delay counts from its intended time; the time for which the stand-in of the worker pool worked on it is subtracted.
func (g *generator) send(rate float64, count int, site *standin.Site, serve path) *load {
	result := &load{ends: map[string]int{}}
	for _, histogram := range []**hdrhistogram.Histogram{&result.repeatable, &result.keyed, &result.sender} {
		*histogram = hdrhistogram.New(1, highestDelay, delayDigits)
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	runtime.LockOSThread() // sleeps of the thread are finer than timers of the runtime
	defer runtime.UnlockOSThread()
	intended := time.Now()
	for range count {
		intended = intended.Add(time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second)))
		sleepUntil(intended)
		request, keyed := g.request()
		result.sender.RecordValue(time.Since(intended).Microseconds())
		due := intended
		all.Go(func() {
			end := serve(request)
			took := time.Since(due)
			worked, _ := site.Worked(request.Body)
			mu.Lock()
			defer mu.Unlock()
			result.ends[end]++
			if end != "served" {
				return
			}
			histogram := result.repeatable
			if keyed {
				histogram = result.keyed
			}
			histogram.RecordValue(max(1, (took - worked).Microseconds()))
		})
	}
	all.Wait()
	return result
}

// quantile returns a quantile of a histogram in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// unserved counts the requests that were not served.
func (l *load) unserved() int {
	count := 0
	for end, n := range l.ends {
		if end != "served" {
			count += n
		}
	}
	return count
}

func (l *load) requests() int { return l.ends["served"] + l.unserved() }

// sleepUntil sleeps on the calling thread until a time.
func sleepUntil(at time.Time) {
	for left := time.Until(at); left > 0; left = time.Until(at) {
		pause := unix.NsecToTimespec(left.Nanoseconds())
		unix.Nanosleep(&pause, nil) // ended early by a signal: the loop sleeps on
	}
}

// packets sends count requests to the uwsgi front, a few at a time, each on its own connection, and returns the CPU
// time that the server used for each.
func (g *generator) packets(count int) (cpuEach time.Duration, unserved int, err error) {
	const callers = 16
	before, err := cpuTime(g.server.box.Pid())
	if err != nil {
		return 0, 0, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, callers)
	for range count {
		request, _ := g.request()
		slots <- struct{}{}
		all.Go(func() {
			seen := standin.Desk(g.server.box.Desk, request)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			if seen.End != "served" {
				unserved++
			}
		})
	}
	all.Wait()
	after, err := cpuTime(g.server.box.Pid())
	return (after - before) / time.Duration(count), unserved, err
}
