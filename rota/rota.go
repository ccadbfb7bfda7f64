package rota

import (
	"cmp"
	"math/bits"
	"slices"

	"vanillalug.example"
)

const (
	// minFollowers is how many others must be heard to follow the store before
	// a router may rely on them.
	minFollowers = 3
	// baseDuty is the part of the duty that does not grow with the fleet.
	baseDuty = 2
)

// Peer is another router that was heard lately.
type Peer struct {
	Name string
	// Following says that it has heard from the store lately.
	Following bool
}

// OnDuty reports whether the router follows the store itself: the first of a
// common order do, more of them in larger fleets, and everyone who hears too
// few that do.
func FollowsStore(self string, heard []Peer) bool {
	following := 0
	for _, p := range heard {
		if p.Following {
			following++
		}
	}
	if following < minFollowers {
		return true
	}
	names := order(self, heard)
	return slices.Index(names, self) < duty(len(names))
}

// First returns the first router of the common order.
func FirstRouter(self string, heard []Peer) string { return order(self, heard)[0] }

// order returns the names in an order that all routers share.
func order(self string, heard []Peer) []string {
	names := []string{self}
	for _, p := range heard {
		names = append(names, p.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(vanillalug.NameKey(a), vanillalug.NameKey(b)), cmp.Compare(a, b))
	})
	return names
}

// duty is how many of the routers follow the store; it grows with the
// logarithm of their number.
func duty(routers int) int { return baseDuty + bits.Len(uint(routers)) }
