package desk

import "cmp"

// compareTurns orders by virtual time, then by name, so that the order never
// depends on the iteration order of a map.
func compareTurns(av, bv float64, an, bn string) int {
	return cmp.Or(cmp.Compare(av, bv), cmp.Compare(an, bn))
}
