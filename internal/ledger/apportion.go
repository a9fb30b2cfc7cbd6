package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/big"
	"slices"
)

// Tariff sets how a sum of money is divided among stands.
type Tariff struct {
	Shares       map[string]int64 // by stand, in millionths of the total use; empty = no use counts as over a share
	OverPerMille int64            // price of use over the share; 1000 = the same price as within it
}

// Part is the portion of the sum that one stand pays.
type Part struct {
	Stand  string `json:"stand"`
	Within int64  `json:"within"` // use within the stand's share
	Over   int64  `json:"over"`   // use over it
	Paise  int64  `json:"paise"`
}

// ErrTariff is returned for a tariff, a sum or use that cannot be apportioned.
var ErrTariff = errors.New("cannot be apportioned")

// Apportion divides a sum in paise in proportion to use. Use within a stand's share of the total has weight 1, use over
// it the weight of the tariff's price. The parts add up to the sum: each is rounded down, and the remaining paise go to
// the largest remainders; ties go to the stand whose name sorts first.
func Apportion(paise int64, use map[string]int64, tariff Tariff) ([]Part, error) {
	if paise < 0 || tariff.OverPerMille < 0 || tariff.OverPerMille > 1_000_000 {
		return nil, fmt.Errorf("%w: %d paise, price of use over a share %d per mille", ErrTariff, paise, tariff.OverPerMille)
	}
	total, shares := int64(0), int64(0)
	for stand, amount := range use {
		sum, ok := checkedAdd(total, amount)
		if amount < 0 || !ok {
			return nil, fmt.Errorf("%w: %s used %d", ErrTariff, standLabel(stand), amount)
		}
		total = sum
	}
	for stand, share := range tariff.Shares {
		if share < 0 || share > 1_000_000 {
			return nil, fmt.Errorf("%w: the share of %s is %d millionths", ErrTariff, standLabel(stand), share)
		}
		shares += share
	}
	if shares > 1_000_000 {
		return nil, fmt.Errorf("%w: the shares add up to %d millionths", ErrTariff, shares)
	}
	if total == 0 {
		return nil, fmt.Errorf("%w: nothing was used", ErrTariff)
	}
	parts := make([]Part, 0, len(use))
	weights := make([]*big.Int, 0, len(use))
	sum := new(big.Int)
	for _, stand := range slices.Sorted(maps.Keys(use)) {
		part := Part{Stand: stand, Within: use[stand]}
		if share, ok := tariff.Shares[stand]; ok || len(tariff.Shares) > 0 { // a stand without a share has all its use over it
			allowed := new(big.Int).Mul(big.NewInt(total), big.NewInt(share))
			part.Within = min(part.Within, allowed.Div(allowed, big.NewInt(1_000_000)).Int64())
		}
		part.Over = use[stand] - part.Within
		weight := new(big.Int).Mul(big.NewInt(part.Within), big.NewInt(1000))
		weight.Add(weight, new(big.Int).Mul(big.NewInt(part.Over), big.NewInt(tariff.OverPerMille)))
		parts, weights = append(parts, part), append(weights, weight)
		sum.Add(sum, weight)
	}
	if sum.Sign() == 0 {
		return nil, fmt.Errorf("%w: all use is over the shares, and its price is 0", ErrTariff)
	}
	remaining := paise
	remainders := make([]*big.Int, len(parts))
	for i, weight := range weights {
		quotient, remainder := new(big.Int).QuoRem(new(big.Int).Mul(weight, big.NewInt(paise)), sum, new(big.Int))
		parts[i].Paise, remainders[i] = quotient.Int64(), remainder
		remaining -= parts[i].Paise
	}
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b].Cmp(remainders[a]), 0) })
	for _, i := range order[:remaining] {
		parts[i].Paise++
	}
	return parts, nil
}

// Use returns the net use of each stand in one figure, an index of Figures. It is 0 for a stand whose negative
// adjustments exceed its use.
func (s Statement) Use(figure int) map[string]int64 {
	out := map[string]int64{}
	for _, share := range s.Stands {
		out[share.Stand] = max(0, share.Net[figure])
	}
	return out
}
