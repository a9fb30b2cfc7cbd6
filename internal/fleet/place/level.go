package place

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// level is a placement while it is brought to the shares. Boxes are numbers: places in boxes; -1 = none.
type level struct {
	boxes []Member
	zoned bool // no slice has both homes in one zone
	seeds []uint64
	pairs [Slices][2]int
	was   [Slices][2]int // as they were before any was given
	have  []int          // homes of each box
	want  []int
}

// slot is a home of a slice that a box has, or that nobody has.
type slot struct{ slice, box int }

// newLevel keeps of the homes what can stay, whose boxes become first if they were second.
func newLevel(s *State, boxes []Member) *level {
	l := &level{}
	l.boxes, l.zoned = weighted(boxes)
	at := map[string]int{}
	for i, b := range l.boxes {
		at[b.Name] = i
		l.seeds = append(l.seeds, xxhash.Sum64String(b.Name))
	}
	l.have = make([]int, len(l.boxes))
	for i := range l.pairs {
		p := &l.pairs[i]
		*p = [2]int{-1, -1}
		first, second := s.Pair(i)
		for _, name := range [2]string{first, second} {
			if b, ok := at[name]; ok && l.fits(i, -1, b) {
				l.give(slot{i, -1}, b)
			}
		}
	}
	l.was = l.pairs
	gs := groups(l.boxes, l.zoned)
	shares, held := make([]float64, len(gs)), make([]int, len(gs))
	sum := 0.0
	for i, g := range gs {
		shares[i] = g.share
		sum += g.share
		for _, n := range l.have[g.from:g.to] {
			held[i] += n
		}
	}
	for i, n := range apportion(shares, held, int(sum+0.5)) {
		g := gs[i]
		own := make([]float64, g.to-g.from)
		for j, b := range l.boxes[g.from:g.to] {
			own[j] = float64(n) * b.Weight / g.weight
		}
		l.want = append(l.want, apportion(own, l.have[g.from:g.to], n)...)
	}
	return l
}

// fits tells that a box can have the home of a slice that another has, or nobody.
func (l *level) fits(slice, from, box int) bool {
	p := l.pairs[slice]
	other := p[0]
	if from >= 0 && other == from {
		other = p[1]
	}
	return other < 0 || other != box && !(l.zoned && l.boxes[other].Zone == l.boxes[box].Zone)
}

// give gives a home to another box. It comes in as second: the one that stays has the records.
func (l *level) give(s slot, box int) {
	p := &l.pairs[s.slice]
	if s.box >= 0 {
		l.have[s.box]--
		if p[0] == s.box {
			p[0] = p[1]
		}
	}
	if p[1] = box; p[0] < 0 {
		p[0], p[1] = box, -1
	}
	l.have[box]++
}

// open tells that a slice lacks a home.
func (l *level) open(slice int) bool {
	return l.pairs[slice][0] < 0 || l.pairs[slice][1] < 0 && len(l.boxes) > 1
}

// draw is what a box draws for a slice: evenly from 0 to 1, without either end.
func (l *level) draw(box, slice int) float64 {
	var key [10]byte
	binary.LittleEndian.PutUint64(key[:], l.seeds[box])
	binary.LittleEndian.PutUint16(key[8:], uint16(slice))
	return (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
}

// homes gives what nobody has to those that have too few, by weighted rendezvous: each draws a time, exponential with
// what it lacks for rate, and the earliest has it. Then those that still lack some take what others have too many of.
func (l *level) homes() {
	for i := range l.pairs {
		for l.open(i) {
			box, earliest := -1, math.Inf(1)
			for b := range l.boxes {
				if lack := l.want[b] - l.have[b]; lack > 0 && l.fits(i, -1, b) {
					if t := -math.Log(l.draw(b, i)) / float64(lack); t < earliest {
						box, earliest = b, t
					}
				}
			}
			if box < 0 {
				break
			}
			l.give(slot{i, -1}, box)
		}
	}
	for b := range l.boxes {
		l.take(b)
	}
	for range 4 * Slices { // more than there are homes
		box := -1
		for i := range l.boxes {
			if d := l.want[i] - l.have[i]; d > 0 && (box < 0 || d > l.want[box]-l.have[box]) {
				box = i
			}
		}
		if box < 0 || !l.chain(box, true) && !l.chain(box, false) {
			break
		}
	}
	for i := range l.pairs { // what the zones leave no other way for
		for l.open(i) {
			least := -1
			for b := range l.boxes {
				if l.fits(i, -1, b) && (least < 0 || l.have[b]-l.want[b] < l.have[least]-l.want[least]) {
					least = b
				}
			}
			l.give(slot{i, -1}, least)
		}
	}
}

// take gives a box what it lacks of what others have too many of, those first for which it draws least.
func (l *level) take(box int) {
	if l.have[box] >= l.want[box] {
		return
	}
	drawn := map[slot]float64{}
	for i, p := range l.pairs {
		for _, from := range p {
			if from >= 0 && l.have[from] > l.want[from] && l.fits(i, from, box) {
				drawn[slot{i, from}] = l.draw(box, i)
			}
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(drawn), func(a, b slot) int { return cmp.Or(cmp.Compare(drawn[a], drawn[b]), a.box-b.box) }) {
		if l.have[box] < l.want[box] && l.have[s.box] > l.want[s.box] && l.fits(s.slice, s.box, box) {
			l.give(s, box)
		}
	}
}

// find looks for the home that a box takes: one that nobody has, else one of a box that has too many; of several the
// one for which it draws least.
func (l *level) find(box int) (best slot, ok bool) {
	free, least := false, 0.0
	for i, p := range l.pairs {
		for _, from := range p {
			nobody := from < 0
			if nobody && !l.open(i) || !nobody && (free || from == box || l.have[from] <= l.want[from]) || !l.fits(i, from, box) {
				continue
			}
			if d := l.draw(box, i); !ok || nobody && !free || d < least {
				best, ok, free, least = slot{i, from}, true, nobody, d
			}
		}
	}
	return best, ok
}

// chain gives a box one home more, or one to a box by which it may come to it; false = there is no way. Where none of
// what is left over can be its own, a third box gives it a home and takes one of those: the shortest such chain is taken.
// With fresh no home that a box had before is given by such a third: what it was just given costs nothing.
func (l *level) chain(box int, fresh bool) bool {
	type link struct {
		gives slot // what a box gives, once it has another home for it
		to    int
	}
	links := make([]link, len(l.boxes))
	seen := make([]bool, len(l.boxes))
	seen[box] = true
	for queue := []int{box}; len(queue) > 0; queue = queue[1:] {
		x := queue[0]
		if s, ok := l.find(x); ok {
			for l.fits(s.slice, s.box, x) { // it may no longer, where a slice is in the chain twice
				l.give(s, x)
				if x == box {
					break
				}
				s, x = links[x].gives, links[x].to
			}
			return true
		}
		for i, p := range l.pairs {
			for _, e := range p {
				if e >= 0 && !seen[e] && !(fresh && slices.Contains(l.was[i][:], e)) && l.fits(i, e, x) {
					links[e], seen[e] = link{slot{i, e}, x}, true
					queue = append(queue, e)
				}
			}
		}
	}
	return false
}

// firsts turns pairs round until each box is first for its share, or as near as the pairs let it be.
func (l *level) firsts() {
	have, shares, sum := make([]int, len(l.boxes)), make([]float64, len(l.boxes)), 0.0
	for _, p := range l.pairs {
		have[p[0]]++
	}
	for _, b := range l.boxes {
		sum += b.Weight
	}
	for i, b := range l.boxes {
		shares[i] = Slices * b.Weight / sum
	}
	want := apportion(shares, have, Slices)
	for i := range l.pairs {
		if p := &l.pairs[i]; p[1] >= 0 && have[p[0]] > want[p[0]] && have[p[1]] < want[p[1]] {
			have[p[0]]--
			have[p[1]]++
			slices.Reverse(p[:])
		}
	}
	for l.turn(have, want) {
	}
}

// turn has one that is first too often be so once less, and one that is too seldom once more; false = there is no way.
func (l *level) turn(have, want []int) bool {
	by := make([][]int, len(l.boxes)) // the slices of which a box is first
	for i, p := range l.pairs {
		if p[1] >= 0 {
			by[p[0]] = append(by[p[0]], i)
		}
	}
	via := make([]int, len(l.boxes)) // the slice by which a box was come to
	var queue []int
	for i := range via {
		if via[i] = -1; have[i] > want[i] {
			queue = append(queue, i)
			via[i] = Slices
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		for _, i := range by[queue[0]] {
			if b := l.pairs[i][1]; via[b] < 0 {
				via[b] = i
				queue = append(queue, b)
			}
		}
		if b := queue[0]; have[b] < want[b] {
			have[b]++
			for via[b] < Slices {
				p := &l.pairs[via[b]]
				b = p[0]
				slices.Reverse(p[:])
			}
			have[b]--
			return true
		}
	}
	return false
}
