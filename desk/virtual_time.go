package desk

import "cmp"

// compareVirtualTime orders by virtual time, then by name, so that the order never
// depends on the iteration order of a map.
func compareVirtualTime(aTime, bTime float64, aName, bName string) int {
	return cmp.Or(cmp.Compare(aTime, bTime), cmp.Compare(aName, bName))
}
