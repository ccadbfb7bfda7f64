package placement

import (
	"cmp"
	"slices"
)

func sortArrivals(a []arrival) {
	slices.SortStableFunc(a, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
}
