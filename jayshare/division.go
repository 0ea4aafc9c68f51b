// Package jayshare divides capacity among organisations by their weights, and sums up what they
// use in several pools. It has no side effects.
package jayshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what one participant uses and wants, in thousandths of a core, with its weight. A
// weight that is not a positive number counts as one.
type Demand struct {
	Weight float64
	Milli  int64
}

func (d Demand) weight() float64 {
	if d.Weight > 0 && !math.IsInf(d.Weight, 1) {
		return d.Weight
	}
	return 1
}

// Entitlement returns the most that a participant may use at a level, in thousandths of a core,
// whatever it wants.
func (d Demand) Entitlement(level float64) int64 {
	most := level * d.weight()
	if most >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(most)
}

// Share returns the share of a participant at a level, in thousandths of a core: its entitlement,
// or its demand if that is less.
func (d Demand) Share(level float64) int64 {
	return min(d.Milli, d.Entitlement(level))
}

// rounding keeps the sum of the shares from exceeding the capacity by an error of the floating
// point calculation.
const rounding = 1e-12

// Level returns the level of the weighted max-min division of a capacity: the thousandths of a
// core per unit of weight that each participant gets whose demand is not met. What the others do
// not use is divided among these. The level is infinite if every demand is met.
func Level(capacity int64, demands []Demand) float64 {
	order := make([]int, len(demands))
	weights, wanted := 0.0, 0.0
	for n, d := range demands {
		order[n] = n
		weights += d.weight()
		wanted += float64(d.Milli)
	}
	if wanted <= float64(capacity) {
		return math.Inf(1)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(float64(demands[a].Milli)/demands[a].weight(), float64(demands[b].Milli)/demands[b].weight())
	})
	left := max(0, capacity)
	for _, n := range order {
		d := demands[n]
		level := float64(left) / weights * (1 - rounding)
		if d.Entitlement(level) < d.Milli {
			return level
		}
		left -= d.Milli
		weights -= d.weight()
	}
	return math.Inf(1)
}

// Divide returns the share of each participant in the weighted max-min division of a capacity.
func Divide(capacity int64, demands []Demand) []int64 {
	level := Level(capacity, demands)
	shares := make([]int64, len(demands))
	for n, d := range demands {
		shares[n] = d.Share(level)
	}
	return shares
}
