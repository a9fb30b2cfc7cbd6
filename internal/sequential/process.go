package sequential

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

// term is what one stratum brings to an e-process: the sum of y and of its squares, and how far y can fall and rise.
type term struct{ n, y, yy, low, high float64 }

// mean is a mean that forgets.
type mean struct{ n, sum float64 }

// Weights of what is expected of a box: that of the fleet counts as so many of its own units, the plan's base as so
// many of the fleet's, and each block as so much less when another has come.
const (
	prior  = 50
	forget = 0.8
)

// terms centres each stratum on what the blocks up to the last but one say of its box, both arms together: their
// values are known before its first unit is given out, so the centre is set before the unit. By measure of the plan.
func terms(p *Plan, strata []Stratum) [][]term {
	bases := make([]float64, 1, 1+len(p.Guards))
	bases[0] = p.Base
	for _, g := range p.Guards {
		bases = append(bases, g.Base)
	}
	out := make([][]term, len(bases))
	type past [1 + MaxGuards]mean
	var fleet past
	boxes := map[string]*past{}
	for j := range out {
		out[j] = make([]term, 0, len(strata))
	}
	taken := 0
	for i := range strata {
		s := &strata[i]
		for ; strata[taken].Block <= s.Block-2; taken++ {
			t := &strata[taken]
			own := boxes[t.Box]
			if own == nil {
				own = &past{}
				boxes[t.Box] = own
			}
			for j := range bases {
				n := float64(t.Arms[0].N + t.Arms[1].N)
				sum := t.Arms[0].Values[j].Sum + t.Arms[1].Values[j].Sum
				own[j] = mean{own[j].n*forget + n, own[j].sum*forget + sum}
				f := fleet[j]
				if taken == 0 || strata[taken-1].Block < t.Block {
					f.n, f.sum = f.n*forget, f.sum*forget
				}
				fleet[j] = mean{f.n + n, f.sum + sum}
			}
		}
		if s.Arms[0].N+s.Arms[1].N == 0 {
			continue
		}
		own := boxes[s.Box]
		for j, base := range bases {
			c := (fleet[j].sum + prior*base) / (fleet[j].n + prior)
			if own != nil {
				c = (own[j].sum + prior*c) / (own[j].n + prior)
			}
			out[j] = append(out[j], newTerm(p.Ratio, c, s, j))
		}
	}
	return out
}

func newTerm(p, c float64, s *Stratum, j int) term {
	t := term{low: max((1-p)*c, p*(1-c)), high: max((1-p)*(1-c), p*c)}
	for a, weight := range [2]float64{-p, 1 - p} {
		n, v := float64(s.Arms[a].N), s.Arms[a].Values[j]
		t.n += n
		t.y += weight * (v.Sum - n*c)
		t.yy += weight * weight * (v.Squares - 2*c*v.Sum + n*c*c)
	}
	return t
}

func total(ts []term) (n, y float64) {
	for _, t := range ts {
		n += t.n
		y += t.y
	}
	return n, y
}

// single is the logarithm of the e-process against a mean of y of at most d (sign 1) or at least d (sign -1), with
// one size of bet. A bet that could lose all is made smaller, by the stratum's centre alone.
func single(ts []term, d, sign, bet float64) float64 {
	return mixture(ts, d, sign, []float64{bet}, false)
}

// mixture is the same over several sizes of bet with even weights; relative ones are shares of the most that a
// stratum allows.
func mixture(ts []term, d, sign float64, bets []float64, relative bool) float64 {
	var logs [4]float64
	for i := range ts {
		t := &ts[i]
		fall := t.low + d
		if sign < 0 {
			fall = t.high - d
		}
		z, zz := sign*(t.y-t.n*d), t.yy-2*d*t.y+t.n*d*d
		for k, l := range bets {
			if relative {
				l /= fall
			}
			u := min(l*fall, 0.9)
			l = u / fall
			logs[k] += l*z + (math.Log1p(-u)+u)/(fall*fall)*zz
		}
	}
	return logMean(logs[:len(bets)])
}

// logMean is the logarithm of the mean of exponentials.
func logMean(logs []float64) float64 {
	top := math.Inf(-1)
	for _, l := range logs {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}

// split judges whether units are given out as they should be, over all and for each box, by the e-process of a beta
// mixture; half of the budget is for all, the rest even over as many boxes as can be. "" = nothing is shown.
func split(p *Plan, strata []Stratum) string {
	var all [2]float64
	boxes := map[string]*[2]float64{}
	for i := range strata {
		s := &strata[i]
		own := boxes[s.Box]
		if own == nil {
			own = &[2]float64{}
			boxes[s.Box] = own
		}
		for a := range all {
			n := float64(s.Arms[a].Assigned)
			all[a] += n
			own[a] += n
		}
	}
	judge := func(name string, n [2]float64, need float64) string {
		e := betaBinomial(n[0], n[1], p.Ratio)
		if e < need {
			return ""
		}
		return fmt.Sprintf("%s: %.0f units were given to A and %.0f to B, a share of %.4f where %.4f was set: evidence e^%.2f of e^%.2f needed",
			name, n[0], n[1], n[1]/(n[0]+n[1]), p.Ratio, e, need)
	}
	if why := judge("all boxes", all, math.Log(2/p.Void)); why != "" {
		return why
	}
	need := math.Log(2 * MaxBoxes / p.Void)
	for i := range strata { // in the order of the strata, so that the same counts name the same box
		if n := boxes[strata[i].Box]; n != nil {
			if why := judge("box "+strata[i].Box, *n, need); why != "" {
				return why
			}
			delete(boxes, strata[i].Box)
		}
	}
	return ""
}

// concentration of the beta mixture: as if so many units had been seen at the set ratio.
const concentration = 100

// betaBinomial is the logarithm of the likelihood of a split under a beta mixture about the ratio, to that under the
// ratio itself.
func betaBinomial(a, b, ratio float64) float64 {
	x, y := concentration*(1-ratio), concentration*ratio
	return mathext.Lbeta(x+a, y+b) - mathext.Lbeta(x, y) - a*math.Log(1-ratio) - b*math.Log(ratio)
}
