package share

import (
	"cmp"
	"slices"
)

// demand is what a user asks for, and its weight.
type demand struct{ cost, weight float64 }

// level returns the cost a second that the room gives to a user of weight 1 by weighted max-min:
// each gets the level times its weight or, if that is less, what it asks for. It is the largest
// demand by weight if there is room for all.
func level(room float64, demands []demand) float64 {
	ordered := slices.Clone(demands)
	slices.SortFunc(ordered, func(a, b demand) int { return cmp.Compare(a.cost/a.weight, b.cost/b.weight) })
	weights := 0.0
	for _, d := range ordered {
		weights += d.weight
	}
	largest := 0.0
	for _, d := range ordered {
		largest = d.cost / d.weight
		if weights*largest > room {
			return max(room, 0) / weights
		}
		room -= d.cost
		weights -= d.weight
	}
	return largest
}
