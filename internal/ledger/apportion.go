package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/big"
	"slices"
)

// Tariff says how a sum of money is divided.
type Tariff struct {
	Shares       map[string]int64 // of each stand, in millionths; empty = nothing is over a share
	OverPerMille int64            // the price of use over a share, 1000 = as within
}

// Part is what a stand pays.
type Part struct {
	Stand  string `json:"stand"`
	Within int64  `json:"within"` // of the figure
	Over   int64  `json:"over"`
	Paise  int64  `json:"paise"`
}

// ErrTariff is a tariff, sum or use that cannot be divided.
var ErrTariff = errors.New("cannot be apportioned")

// Apportion divides a sum in paise by use. Each stand's use within its share of the whole counts once, what is
// over it at the tariff's price. The parts add up to the whole: each is rounded down, and the paise that are
// left go to the largest remainders, in a tie to the stand whose name comes first.
func Apportion(paise int64, use map[string]int64, t Tariff) ([]Part, error) {
	if paise < 0 || t.OverPerMille < 0 || t.OverPerMille > 1_000_000 {
		return nil, fmt.Errorf("%w: %d paise, use over a share at %d per mille", ErrTariff, paise, t.OverPerMille)
	}
	whole, shares := int64(0), int64(0)
	for stand, n := range use {
		sum, ok := add(whole, n)
		if n < 0 || !ok {
			return nil, fmt.Errorf("%w: %s used %d", ErrTariff, display(stand), n)
		}
		whole = sum
	}
	for stand, s := range t.Shares {
		if s < 0 || s > 1_000_000 {
			return nil, fmt.Errorf("%w: the share of %s is %d millionths", ErrTariff, display(stand), s)
		}
		shares += s
	}
	if shares > 1_000_000 {
		return nil, fmt.Errorf("%w: the shares are %d millionths", ErrTariff, shares)
	}
	if whole == 0 {
		return nil, fmt.Errorf("%w: nothing was used", ErrTariff)
	}
	parts := make([]Part, 0, len(use))
	weights := make([]*big.Int, 0, len(use))
	sum := new(big.Int)
	for _, stand := range slices.Sorted(maps.Keys(use)) {
		p := Part{Stand: stand, Within: use[stand]}
		if s, ok := t.Shares[stand]; ok || len(t.Shares) > 0 { // without a share all is over it
			may := new(big.Int).Mul(big.NewInt(whole), big.NewInt(s))
			p.Within = min(p.Within, may.Div(may, big.NewInt(1_000_000)).Int64())
		}
		p.Over = use[stand] - p.Within
		w := new(big.Int).Mul(big.NewInt(p.Within), big.NewInt(1000))
		w.Add(w, new(big.Int).Mul(big.NewInt(p.Over), big.NewInt(t.OverPerMille)))
		parts, weights = append(parts, p), append(weights, w)
		sum.Add(sum, w)
	}
	if sum.Sign() == 0 {
		return nil, fmt.Errorf("%w: all use is over the shares, at no price", ErrTariff)
	}
	left := paise
	rests := make([]*big.Int, len(parts))
	for i, w := range weights {
		q, r := new(big.Int).QuoRem(new(big.Int).Mul(w, big.NewInt(paise)), sum, new(big.Int))
		parts[i].Paise, rests[i] = q.Int64(), r
		left -= parts[i].Paise
	}
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rests[b].Cmp(rests[a]), 0) })
	for _, i := range order[:left] {
		parts[i].Paise++
	}
	return parts, nil
}

// Use gives the net use of each stand by one figure. A stand whose adjustments exceed its use has used nothing.
func (s Statement) Use(figure int) map[string]int64 {
	out := map[string]int64{}
	for _, h := range s.Stands {
		out[h.Stand] = max(0, h.Net[figure])
	}
	return out
}
