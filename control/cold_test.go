package control

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var coldSeeds = flag.Int("coldseeds", 5, "number of seeds that TestLoadOfManySendersOnAColdWorker runs")

// coldWorker simulates a cold worker whose cores are shared evenly by its runs.
type coldWorker struct {
	recorder
	work    map[uint32]float64 // core seconds remaining of each request
	running []uint32
	sender  map[uint32]int // by request
	answer  func(sender int)
}

func (w *coldWorker) Run(id uint32) { w.running = append(w.running, id) }
func (w *coldWorker) Refuse(id uint32, _ time.Duration, _ bool) {
	w.answer(w.sender[id])
}
func (w *coldWorker) Fail(id uint32) { w.answer(w.sender[id]) }

const (
	coldFrom         = 0.2
	coldFor          = 10 * time.Second
	coldWork         = 0.02        // mean core seconds of a request
	coldStep         = 5 * ms      // step of the simulation
	coldSpan         = 1500 * ms   // time over which requests and requests on the cores are averaged
	coldFirstRequest = time.Second // first request: the senders do not know the worker before
)

// coldSpeed returns the speed at a time after the start, as a fraction of full speed.
func coldSpeed(at time.Duration) float64 {
	return min(1, coldFrom+(1-coldFrom)*float64(at)/float64(coldFor))
}

// coldResult holds the counts of each step, and the number of requests that ran.
type coldResult struct {
	arrived, informed []float64 // all requests, and those of senders that knew the worker's advertised value
	onCores           []float64 // requests on the cores
	ran               float64
}

// simulateCold has senders, each of which knows only the answers to its own requests, send the load of a warm worker
// to a cold one. With uncontrolled, the worker runs all requests without a controller; with follow, the senders
// follow the advertised value.
func simulateCold(
	t *testing.T, advert Advert, senders int, uncontrolled, follow bool, seed uint64) (result coldResult) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(senders)))
	cfg := baseConfig()
	cfg.Classes = cfg.Classes[:1]
	cfg.Advert, cfg.Callers, cfg.Quantum = advert, senders, coldStep
	cfg.Cold, cfg.ColdFrom, cfg.ColdFor, cfg.CrowdFor, cfg.HeardFor = true, coldFrom, coldFor, coldSpan, time.Second
	w := &coldWorker{work: map[uint32]float64{}, sender: map[uint32]int{}}
	now := time.Duration(0)
	known, knownAt, open := make([]float64, senders), make([]time.Duration, senders), make([]int, senders)
	for i := range knownAt {
		knownAt[i] = -time.Hour
	}
	w.answer = func(i int) {
		open[i]--
		known[i], knownAt[i] = w.level, now
	}
	c, err := New(cfg, 0, w)
	if err != nil {
		t.Fatal(err)
	}
	c.Decide(0)
	rate, next, id, coreUse := float64(cfg.Cores)/coldWork, coldFirstRequest.Seconds(), uint32(0), 0.0
	for ; now < coldFor; now += coldStep {
		n := len(w.running)
		progress := min(1, float64(cfg.Cores)/float64(max(1, n))) * coldSpeed(now) * coldStep.Seconds()
		coreUse += (min(1, float64(n)/float64(cfg.Cores)) - coreUse) * coldStep.Seconds() / 0.25
		remaining := w.running[:0:0]
		for _, id := range w.running {
			if w.work[id] -= progress; w.work[id] > 0 {
				remaining = append(remaining, id)
				continue
			}
			c.Done(now, id, 0, OK)
			w.answer(w.sender[id])
		}
		w.running = remaining
		arrived, informed := 0.0, 0.0
		for ; next <= now.Seconds(); next += random.ExpFloat64() / rate {
			i, rank, chance := random.IntN(senders), random.Float64(), random.Float64()
			isInformed := now < knownAt[i]+cfg.HeardFor
			if follow && isInformed {
				allowed := true
				switch advert {
				case AdvertLevel:
					allowed = rank >= known[i]
				case AdvertWeight:
					allowed = chance < known[i]
				case AdvertCredit: // a fraction of a credit is the probability of one
					whole, rest := math.Modf(known[i])
					allowed = float64(open[i]) < whole || float64(open[i]) == whole && chance < rest
				}
				if !allowed {
					continue
				}
			}
			id++
			arrived++
			if isInformed {
				informed++
			}
			open[i]++
			w.work[id], w.sender[id] = random.ExpFloat64()*coldWork, i
			if uncontrolled {
				w.Run(id)
				continue
			}
			c.Request(now, Request{ID: id, Rank: rank, TimeLeft: 3 * time.Second, Memory: 10})
		}
		if w.wake -= coldStep; w.wake <= 0 {
			c.Tick(now, Gauges{CoreUse: coreUse, OnCores: float64(len(w.running))})
		}
		before := len(w.running)
		c.Decide(now)
		result.arrived, result.informed = append(result.arrived, arrived), append(result.informed, informed)
		result.onCores, result.ran = append(result.onCores, float64(len(w.running))),
			result.ran+float64(len(w.running)-before)
	}
	return result
}

// coldCrowd returns the largest mean of requests on the cores over coldSpan, as a fraction of the crowd that the
// worker does not survive at the beginning of that time.
func coldCrowd(onCores []float64) (largest float64) {
	sum, steps := 0.0, int(coldSpan/coldStep)
	for i, n := range onCores {
		if sum += n; i >= steps {
			sum -= onCores[i-steps]
		}
		if begin := time.Duration(i-steps+1) * coldStep; begin >= 0 {
			largest = max(largest, sum/float64(steps)/(2*(1+(baseConfig().Crowd-1)*coldSpeed(begin))))
		}
	}
	return largest
}

// coldExcess returns the largest excess of requests over the budget N of any coldSpan: in units of the square root
// of N, and beyond 2 sqrt(N) + 2. The budget is what the worker can serve in that time at its speed.
func coldExcess(counts []float64) (roots, beyond float64) {
	roots, beyond = math.Inf(-1), math.Inf(-1)
	sum, n, steps := 0.0, 0.0, int(coldSpan/coldStep)
	budget := func(i int) float64 {
		return 2 / coldWork * coldSpeed(time.Duration(i)*coldStep) * coldStep.Seconds()
	}
	for i, arrived := range counts {
		sum, n = sum+arrived, n+budget(i)
		if i >= steps {
			sum, n = sum-counts[i-steps], n-budget(i-steps)
		}
		if i >= steps-1 {
			roots = max(roots, (sum-n)/math.Sqrt(n))
			beyond = max(beyond, sum-n-2*math.Sqrt(n)-2)
		}
	}
	return roots, beyond
}

// A cold worker never has so many requests on its cores that it fails, whatever the number of senders and whether or
// not they follow its advertised value. With credits and a known number of callers, the requests of senders that know
// their credit stay within the worker's capacity, except by chance in one seed of a hundred. A level or a weight gives
// no such limit (see the test's log): it loosens with the queuing time, and senders that have not received it lately do
// not follow it. Requests in excess are refused.
func TestLoadOfManySendersOnAColdWorker(t *testing.T) {
	for _, advert := range []Advert{AdvertLevel, AdvertWeight, AdvertCredit} {
		for _, senders := range []int{3, 20, 30} {
			for _, follow := range []bool{true, false} {
				name := fmt.Sprint([]string{"", "level", "credit", "weight"}[advert],
					"/", senders, "/followed ", follow)
				t.Run(name, func(t *testing.T) {
					all, informed, crowd, over, overInformed, ran := math.Inf(-1), math.Inf(-1), 0.0, 0, 0, 0.0
					for seed := range uint64(*coldSeeds) {
						result := simulateCold(t, advert, senders, false, follow, seed)
						roots, beyond := coldExcess(result.arrived)
						all = max(all, roots)
						if beyond > 0 {
							over++
						}
						roots, beyond = coldExcess(result.informed)
						informed = max(informed, roots)
						if beyond > 0 {
							overInformed++
						}
						crowd, ran = max(crowd, coldCrowd(result.onCores)), ran+result.ran/float64(*coldSeeds)
					}
					// "over" counts the seeds with more than N + 2 sqrt(N) + 2 requests.
					t.Logf("seeds 0 to %d: all N %+.2f sqrt(N), %d over; informed %+.2f, %d over; crowd %.2f; ran %.0f",
						*coldSeeds-1, all, over, informed, overInformed, crowd, ran)
					if crowd >= 1 {
						t.Errorf("%.2f of the crowd that the worker does not survive", crowd)
					}
					if chance := overInformed*100 <= *coldSeeds; advert == AdvertCredit && chance != follow {
						t.Errorf("credits followed %v: %d seeds over N + 2 sqrt(N) + 2", follow, overInformed)
					}
					if crowd := coldCrowd(simulateCold(t, advert, senders, true, false, 0).onCores); crowd < 1 {
						t.Errorf("only %.2f of that crowd where all requests run: the load is too low",
							crowd)
					}
				})
			}
		}
	}
}
