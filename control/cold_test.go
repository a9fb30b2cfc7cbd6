package control

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var coldSeeds = flag.Int("coldseeds", 5, "how many seeds TestASumOfSendersHeedsAColdWorker plays")

// coldBox is a cold worker on a passed clock, its cores shared evenly by what runs.
type coldBox struct {
	tape
	work    map[uint32]float64 // core seconds left
	running []uint32
	sender  map[uint32]int
	answer  func(sender int)
}

func (b *coldBox) Run(id uint32) { b.running = append(b.running, id) }
func (b *coldBox) Refuse(id uint32, _ time.Duration, _ bool) {
	b.answer(b.sender[id])
}
func (b *coldBox) Fail(id uint32) { b.answer(b.sender[id]) }

const (
	coldFrom = 0.2
	coldFor  = 10 * time.Second
	coldWork = 0.02 // core seconds
	coldStep = 5 * ms
	coldSpan = 1500 * ms
	coldBack = time.Second // the senders do not hear of it before
)

func coldSpeed(at time.Duration) float64 {
	return min(1, coldFrom+(1-coldFrom)*float64(at)/float64(coldFor))
}

// coldPlay is what was seen in each step.
type coldPlay struct {
	arrived, knowing []float64 // all, and those of senders that had heard what the worker says of itself
	on               []float64 // on the cores
	ran              float64
}

// playCold has senders, each knowing only the answers to its own requests, send a warm worker's load to a cold one;
// wild is a worker without a controller, that runs all.
func playCold(t *testing.T, advert Advert, senders int, wild, heed bool, seed uint64) (p coldPlay) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, uint64(senders)))
	cfg := plain()
	cfg.Classes = cfg.Classes[:1]
	cfg.Advert, cfg.Callers, cfg.Quantum = advert, senders, coldStep
	cfg.Cold, cfg.ColdFrom, cfg.ColdFor, cfg.CrowdFor, cfg.HeardFor = true, coldFrom, coldFor, coldSpan, time.Second
	b := &coldBox{work: map[uint32]float64{}, sender: map[uint32]int{}}
	now := time.Duration(0)
	heard, heardAt, open := make([]float64, senders), make([]time.Duration, senders), make([]int, senders)
	for i := range heardAt {
		heardAt[i] = -time.Hour
	}
	b.answer = func(i int) {
		open[i]--
		heard[i], heardAt[i] = b.level, now
	}
	c, err := New(cfg, 0, b)
	if err != nil {
		t.Fatal(err)
	}
	c.Decide(0)
	rate, next, id, use := float64(cfg.Cores)/coldWork, coldBack.Seconds(), uint32(0), 0.0
	for ; now < coldFor; now += coldStep {
		n := len(b.running)
		part := min(1, float64(cfg.Cores)/float64(max(1, n))) * coldSpeed(now) * coldStep.Seconds()
		use += (min(1, float64(n)/float64(cfg.Cores)) - use) * coldStep.Seconds() / 0.25
		left := b.running[:0:0]
		for _, id := range b.running {
			if b.work[id] -= part; b.work[id] > 0 {
				left = append(left, id)
				continue
			}
			c.Done(now, id, 0, OK)
			b.answer(b.sender[id])
		}
		b.running = left
		came, knew := 0.0, 0.0
		for ; next <= now.Seconds(); next += r.ExpFloat64() / rate {
			i, rank, chance := r.IntN(senders), r.Float64(), r.Float64()
			knows := now < heardAt[i]+cfg.HeardFor
			if heed && knows {
				may := true
				switch advert {
				case AdvertLevel:
					may = rank >= heard[i]
				case AdvertWeight:
					may = chance < heard[i]
				case AdvertCredit: // the part of a credit is the chance of one
					whole, rest := math.Modf(heard[i])
					may = float64(open[i]) < whole || float64(open[i]) == whole && chance < rest
				}
				if !may {
					continue
				}
			}
			id++
			came++
			if knows {
				knew++
			}
			open[i]++
			b.work[id], b.sender[id] = r.ExpFloat64()*coldWork, i
			if wild {
				b.Run(id)
				continue
			}
			c.Request(now, Request{ID: id, Rank: rank, Left: 3 * time.Second, Memory: 10})
		}
		if b.wake -= coldStep; b.wake <= 0 {
			c.Tick(now, Gauges{CoreUse: use, OnCores: float64(len(b.running))})
		}
		before := len(b.running)
		c.Decide(now)
		p.arrived, p.knowing = append(p.arrived, came), append(p.knowing, knew)
		p.on, p.ran = append(p.on, float64(len(b.running))), p.ran+float64(len(b.running)-before)
	}
	return p
}

// coldCrowd is the largest mean on the cores over a span, in those that the worker falls under at its beginning.
func coldCrowd(on []float64) (most float64) {
	sum, steps := 0.0, int(coldSpan/coldStep)
	for i, x := range on {
		if sum += x; i >= steps {
			sum -= on[i-steps]
		}
		if begin := time.Duration(i-steps+1) * coldStep; begin >= 0 {
			most = max(most, sum/float64(steps)/(2*(1+(plain().Crowd-1)*coldSpeed(begin))))
		}
	}
	return most
}

// coldExcess is the most by which any span is over its budget N: in roots of N, and that beyond 2 root N + 2.
func coldExcess(count []float64) (roots, beyond float64) {
	roots, beyond = math.Inf(-1), math.Inf(-1)
	sum, n, steps := 0.0, 0.0, int(coldSpan/coldStep)
	budget := func(i int) float64 {
		return 2 / coldWork * coldSpeed(time.Duration(i)*coldStep) * coldStep.Seconds()
	}
	for i, x := range count {
		sum, n = sum+x, n+budget(i)
		if i >= steps {
			sum, n = sum-count[i-steps], n-budget(i-steps)
		}
		if i >= steps-1 {
			roots = max(roots, (sum-n)/math.Sqrt(n))
			beyond = max(beyond, sum-n-2*math.Sqrt(n)-2)
		}
	}
	return roots, beyond
}

// However many senders there are, and whether or not they heed what it says, a cold worker never has the crowd on its
// cores that it would fall under. Credits, where the settings tell how many callers there are, keep what comes of those
// that know them within what it carries, but for chance in one seed of a hundred. A level or a weight does not, see the
// log: it opens by how long requests queue, and holds nobody who has not heard it lately. What is too much is refused.
func TestASumOfSendersHeedsAColdWorker(t *testing.T) {
	for _, advert := range []Advert{AdvertLevel, AdvertWeight, AdvertCredit} {
		for _, senders := range []int{3, 20, 30} {
			for _, heed := range []bool{true, false} {
				name := fmt.Sprint([]string{"", "level", "credit", "weight"}[advert], "/", senders, "/heeded ", heed)
				t.Run(name, func(t *testing.T) {
					all, known, most, over, overKnown, ran := math.Inf(-1), math.Inf(-1), 0.0, 0, 0, 0.0
					for seed := range uint64(*coldSeeds) {
						p := playCold(t, advert, senders, false, heed, seed)
						roots, beyond := coldExcess(p.arrived)
						all = max(all, roots)
						if beyond > 0 {
							over++
						}
						roots, beyond = coldExcess(p.knowing)
						known = max(known, roots)
						if beyond > 0 {
							overKnown++
						}
						most, ran = max(most, coldCrowd(p.on)), ran+p.ran/float64(*coldSeeds)
					}
					t.Logf("seeds 0 to %d: arrived worst N %+.2f root N, %d over N + 2 root N + 2; of senders that know its word %+.2f, %d; crowd %.2f; ran %.0f",
						*coldSeeds-1, all, over, known, overKnown, most, ran)
					if most >= 1 {
						t.Errorf("%.2f of the crowd that it falls under", most)
					}
					if chance := overKnown*100 <= *coldSeeds; advert == AdvertCredit && chance != heed {
						t.Errorf("credits heeded %v: %d seeds over N + 2 root N + 2", heed, overKnown)
					}
					if most := coldCrowd(playCold(t, advert, senders, true, false, 0).on); most < 1 {
						t.Errorf("where all that arrives is run it has %.2f of that crowd: the test has no teeth", most)
					}
				})
			}
		}
	}
}
