package sequential

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

// increment is the contribution of one stratum to an e-process: the number of units, the sums of y and of its
// squares, and how far y can fall below and rise above zero.
type increment struct{ n, y, ySquares, low, high float64 }

// decayingMean is a mean that discounts older values.
type decayingMean struct{ n, sum float64 }

// The expected value of a server combines three sources: the fleet's mean counts as much as priorUnits units of the
// server, the plan's base as much as priorUnits units of the fleet, and the weight of a block is multiplied by
// blockDecay with each later block.
const (
	priorUnits = 50
	blockDecay = 0.8
)

// increments centers each stratum on the mean of its server over the blocks up to the last but one, both arms together.
// Those values are known before the stratum's first unit is assigned, so the center does not depend on its units. The
// result is indexed by measure of the plan (worth, then the guards).
func increments(p *Plan, strata []Stratum) [][]increment {
	bases := make([]float64, 1, 1+len(p.Guards))
	bases[0] = p.Base
	for _, g := range p.Guards {
		bases = append(bases, g.Base)
	}
	out := make([][]increment, len(bases))
	type past [1 + MaxGuards]decayingMean
	var fleet past
	servers := map[string]*past{}
	for j := range out {
		out[j] = make([]increment, 0, len(strata))
	}
	applied := 0
	for i := range strata {
		stratum := &strata[i]
		for ; strata[applied].Block <= stratum.Block-2; applied++ {
			previous := &strata[applied]
			serverMeans := servers[previous.Box]
			if serverMeans == nil {
				serverMeans = &past{}
				servers[previous.Box] = serverMeans
			}
			for j := range bases {
				n := float64(previous.Arms[0].N + previous.Arms[1].N)
				sum := previous.Arms[0].Values[j].Sum + previous.Arms[1].Values[j].Sum
				serverMeans[j] = decayingMean{serverMeans[j].n*blockDecay + n, serverMeans[j].sum*blockDecay + sum}
				fleetMean := fleet[j]
				if applied == 0 || strata[applied-1].Block < previous.Block {
					fleetMean.n, fleetMean.sum = fleetMean.n*blockDecay, fleetMean.sum*blockDecay
				}
				fleet[j] = decayingMean{fleetMean.n + n, fleetMean.sum + sum}
			}
		}
		if stratum.Arms[0].N+stratum.Arms[1].N == 0 {
			continue
		}
		serverMeans := servers[stratum.Box]
		for j, base := range bases {
			center := (fleet[j].sum + priorUnits*base) / (fleet[j].n + priorUnits)
			if serverMeans != nil {
				center = (serverMeans[j].sum + priorUnits*center) / (serverMeans[j].n + priorUnits)
			}
			out[j] = append(out[j], newIncrement(p.Ratio, center, stratum, j))
		}
	}
	return out
}

func newIncrement(ratio, center float64, stratum *Stratum, measure int) increment {
	result := increment{low: max((1-ratio)*center, ratio*(1-center)), high: max((1-ratio)*(1-center), ratio*center)}
	for arm, weight := range [2]float64{-ratio, 1 - ratio} {
		n, v := float64(stratum.Arms[arm].N), stratum.Arms[arm].Values[measure]
		result.n += n
		result.y += weight * (v.Sum - n*center)
		result.ySquares += weight * weight * (v.Squares - 2*center*v.Sum + n*center*center)
	}
	return result
}

func totals(ts []increment) (n, y float64) {
	for _, t := range ts {
		n += t.n
		y += t.y
	}
	return n, y
}

// logEProcess returns the logarithm of the e-process against the hypothesis that the mean of y is at most d (sign 1)
// or at least d (sign -1), with one bet size. A bet that could lose everything is reduced, using only the stratum's
// center.
func logEProcess(ts []increment, bound, sign, bet float64) float64 {
	return logMixture(ts, bound, sign, []float64{bet}, false)
}

// logMixture is like single for several bet sizes with equal weights. Relative bets are shares of the largest bet
// that a stratum allows.
func logMixture(ts []increment, d, sign float64, bets []float64, relative bool) float64 {
	var logs [4]float64
	for i := range ts {
		t := &ts[i]
		maxFall := t.low + d
		if sign < 0 {
			maxFall = t.high - d
		}
		z, zz := sign*(t.y-t.n*d), t.ySquares-2*d*t.y+t.n*d*d
		for k, l := range bets {
			if relative {
				l /= maxFall
			}
			fraction := min(l*maxFall, 0.9)
			l = fraction / maxFall
			logs[k] += l*z + (math.Log1p(-fraction)+fraction)/(maxFall*maxFall)*zz
		}
	}
	return logMean(logs[:len(bets)])
}

// logMean returns the logarithm of the mean of the exponentials of logs.
func logMean(logs []float64) float64 {
	largest := math.Inf(-1)
	for _, l := range logs {
		largest = max(largest, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(logs)))
}

// checkAssignment tests whether units are assigned to the arms in the planned ratio, over all servers and for each
// server, with the e-process of a beta mixture. Half of the error budget is for the total; the rest is shared equally
// by the maximum number of servers. It returns "" if no deviation is shown, otherwise a description of it.
func checkAssignment(p *Plan, strata []Stratum) string {
	var all [2]float64
	servers := map[string]*[2]float64{}
	for i := range strata {
		stratum := &strata[i]
		serverCounts := servers[stratum.Box]
		if serverCounts == nil {
			serverCounts = &[2]float64{}
			servers[stratum.Box] = serverCounts
		}
		for arm := range all {
			n := float64(stratum.Arms[arm].Assigned)
			all[arm] += n
			serverCounts[arm] += n
		}
	}
	check := func(name string, n [2]float64, required float64) string {
		evidence := logBetaBinomialRatio(n[0], n[1], p.Ratio)
		if evidence < required {
			return ""
		}
		return fmt.Sprintf("%s: %.0f units were given to A and %.0f to B, a share of %.4f where %.4f was set: evidence e^%.2f of e^%.2f needed",
			name, n[0], n[1], n[1]/(n[0]+n[1]), p.Ratio, evidence, required)
	}
	if why := check("all boxes", all, math.Log(2/p.Void)); why != "" {
		return why
	}
	required := math.Log(2 * MaxBoxes / p.Void)
	for i := range strata { // in the order of the strata, so that equal counts always name the same server
		if n := servers[strata[i].Box]; n != nil {
			if why := check("box "+strata[i].Box, *n, required); why != "" {
				return why
			}
			delete(servers, strata[i].Box)
		}
	}
	return ""
}

// betaConcentration of the beta mixture: its weight in units observed at the planned ratio.
const betaConcentration = 100

// logBetaBinomialRatio returns the logarithm of the likelihood ratio between a beta mixture around the ratio and the
// ratio itself.
func logBetaBinomialRatio(a, b, ratio float64) float64 {
	alpha, beta := betaConcentration*(1-ratio), betaConcentration*ratio
	return mathext.Lbeta(alpha+a, beta+b) - mathext.Lbeta(alpha, beta) - a*math.Log(1-ratio) - b*math.Log(ratio)
}
