// Package forecast tells what the kept replies of a fleet's boxes will be worth when slices are placed anew. Each box
// samples its own stream of wanted keys by hash (SHARDS with fixed size, Waldspurger et al., FAST 2015); the sketches
// of all boxes give for any placement the hit rates, the course after the move and the calls added below (AET, Hu et
// al., ATC 2016: times between two wants of a key stay what they are wherever it is placed; distances do not). It does
// no I/O and reads no clock: times are arguments, in Unix milliseconds. docs/design/forecast.md has the choice.
package forecast

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Shapes and bounds.
const (
	Slices     = 1024
	Groups     = 32 // slices of one group (slice % Groups) share their curves
	MaxClasses = 8
	maxKeys    = 1408 // sampled at a time
	ages       = 24   // of the grid of ages, a factor of sqrt 2 apart, up to the horizon
	lives      = 10   // of the grid of ages by class, a factor of 2 apart, up to the class's time
	full       = uint64(1) << 54
)

// ErrSettings is what New cannot take.
var ErrSettings = errors.New("forecast")

// Class is one whose replies are kept, and for how long in ms.
type Class struct {
	Name string
	For  int64
}

// key is one sampled key: when it was last wanted, and for each age of its class when it was last fetched by a store
// that forgets what was not wanted for that age.
type key struct {
	u     uint64 // of its hash; it is sampled while under the threshold
	last  int64
	fetch [lives]int64
	size  uint32
	class uint8
}

// Sampler is what one box keeps of its stream: under 256 KB, whatever comes. Make it with NewSampler.
type Sampler struct {
	classes []Class
	horizon int64
	turned  int64
	tracked uint64 // keys with u under it are followed
	counted uint64 // and those under this one counted: what is followed anew has to settle for a horizon first
	raised  int64
	n       int
	keys    [maxKeys]key
	order   [maxKeys]uint64 // scratch of drop
	index   [4 * maxKeys]uint16
	since   [Slices]int64 // a slice is this box's own since; 0 = it is not
	seconds float64
	cover   [Groups]float64 // seconds that slices were this box's and settled
	volume  [MaxClasses][Slices]float32
	miss    [Groups][MaxClasses][lives]float32
	gaps    [Groups][MaxClasses][ages + 1]float32
	bytes   [Groups][ages + 1]float32
	byteMs  [Groups][ages + 1]float32
}

// NewSampler makes the sampler of a box.
func NewSampler(now int64, classes []Class) (*Sampler, error) {
	s := &Sampler{classes: classes, turned: now, tracked: full, counted: full}
	if len(classes) < 1 || len(classes) > MaxClasses {
		return nil, fmt.Errorf("%w: %d classes, 1 to %d", ErrSettings, len(classes), MaxClasses)
	}
	for _, c := range classes {
		if c.For < 1<<lives || c.Name == "" {
			return nil, fmt.Errorf("%w: class %q for %d ms, %d at least", ErrSettings, c.Name, c.For, 1<<lives)
		}
		s.horizon = max(s.horizon, c.For)
	}
	return s, nil
}

// Own tells which slices are the box's own from now on. A slice that it was not before says nothing of how often its
// keys are missed until a horizon has passed.
func (s *Sampler) Own(now int64, own func(slice int) bool) {
	s.settle(now)
	for i := range s.since {
		switch has := own(i); {
		case !has:
			s.since[i] = 0
		case s.since[i] == 0:
			s.since[i] = now
		}
	}
}

// grid gives the age at a place of the grid, in ms.
func grid(horizon int64, i int) float64 {
	return float64(horizon) * math.Pow(2, -float64(ages-1-i)/2)
}

// Want counts one want of a key by its hash, once the size of its reply in bytes (with what is booked for an entry)
// is known; 0 = it is not.
func (s *Sampler) Want(now int64, hash uint64, slice int, class int, size int) {
	s.volume[class][slice]++
	if u := hash >> 10; u < s.tracked {
		s.sample(now, u, slice, class, size)
	}
}

func (s *Sampler) sample(now int64, u uint64, slice, class, size int) {
	at := s.find(u)
	i := int(s.index[at]) - 1
	known := i >= 0
	if !known {
		if s.n == maxKeys {
			s.drop()
			if u >= s.tracked {
				return
			}
			at = s.find(u)
		}
		i = s.add(u, class, at)
	}
	k := &s.keys[i]
	if size > 0 {
		k.size = uint32(size)
	}
	gap := now - k.last
	if !known {
		gap = math.MaxInt64
	}
	count := u < s.counted && s.since[slice] > 0 && now-s.since[slice] >= s.horizon
	g, w := slice%Groups, float32(float64(full)/float64(s.counted))
	life := s.classes[class].For
	for j := range k.fetch {
		if gap >= life>>j || now-k.fetch[j] >= life {
			k.fetch[j] = now
			if count {
				s.miss[g][class][j] += w
			}
		}
	}
	k.last = now
	if !count {
		return
	}
	b := s.bucket(gap)
	s.gaps[g][class][b] += w
	s.bytes[g][b] += w * float32(k.size)
	if b < ages {
		s.byteMs[g][b] += w * float32(k.size) * float32(gap)
	}
}

// bucket gives the first place of the grid whose age is over a gap; ages = none.
func (s *Sampler) bucket(gap int64) int {
	if gap >= s.horizon {
		return ages
	}
	i := ages - 1 - int(2*math.Log2(float64(s.horizon)/float64(max(1, gap))))
	return max(0, i)
}

// find gives the place of a key in the index, or the free one where it belongs.
func (s *Sampler) find(u uint64) int {
	i := int(u*0x9E3779B97F4A7C15>>32) % len(s.index)
	for s.index[i] != 0 && s.keys[s.index[i]-1].u != u {
		i = (i + 1) % len(s.index)
	}
	return i
}

func (s *Sampler) add(u uint64, class, at int) int {
	i := s.n
	s.keys[i] = key{u: u, class: uint8(class)}
	s.index[at] = uint16(i + 1)
	s.n++
	return i
}

// drop lowers the threshold until a sixteenth of the keys is out of it.
func (s *Sampler) drop() {
	for i := range s.n {
		s.order[i] = s.keys[i].u
	}
	slices.Sort(s.order[:s.n])
	s.tracked = s.order[s.n-maxKeys/16]
	s.counted = min(s.counted, s.tracked)
	s.rebuild(func(k *key) bool { return k.u < s.tracked })
}

// rebuild keeps the keys that are wanted still, and makes the index anew.
func (s *Sampler) rebuild(keep func(*key) bool) {
	n := 0
	for i := range s.n {
		if keep(&s.keys[i]) {
			s.keys[n] = s.keys[i]
			n++
		}
	}
	s.n = n
	clear(s.index[:])
	for i := range n {
		s.index[s.find(s.keys[i].u)] = uint16(i + 1)
	}
}

// settle brings the times up to now; every turn it halves what was counted, forgets keys that were not wanted for a
// horizon, and follows twice as many where there is room.
func (s *Sampler) settle(now int64) {
	if d := now - s.turned; d > 0 {
		s.seconds += float64(d) / 1000
		for i, since := range s.since {
			if since > 0 {
				s.cover[i%Groups] += float64(max(0, now-max(s.turned, since+s.horizon))) / 1000
			}
		}
		s.turned = now
	}
}

// Turn is to be called every half a minute or so.
func (s *Sampler) Turn(now int64) {
	s.settle(now)
	s.seconds /= 2
	for i := range s.cover {
		s.cover[i] /= 2
	}
	halve := func(xs []float32) {
		for i := range xs {
			xs[i] /= 2
		}
	}
	for c := range s.volume {
		halve(s.volume[c][:])
	}
	for g := range Groups {
		for c := range MaxClasses {
			halve(s.miss[g][c][:])
			halve(s.gaps[g][c][:])
		}
		halve(s.bytes[g][:])
		halve(s.byteMs[g][:])
	}
	s.rebuild(func(k *key) bool { return now-k.last < s.horizon })
	if s.counted < s.tracked && now-s.raised >= s.horizon {
		s.counted = s.tracked
	}
	if s.counted == s.tracked && s.tracked < full && s.n < maxKeys/3 {
		s.tracked, s.raised = min(full, 2*s.tracked), now
	}
}
