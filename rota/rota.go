package rota

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"vanillalug.example"
)

const (
	// minFollowers is the smallest number of peers that must follow the store
	// before a router relies on them.
	minFollowers = 3
	// takeoverInterval is how long too few followers must get no response from the
	// store until twice as many routers follow it.
	takeoverInterval = 2 * time.Second
	// maxTakeovers bounds how often the number of followers is doubled.
	maxTakeovers = 16
	// wideLink is the bandwidth in Mbit/s from which a link carries a large table in a tenth of a
	// second.
	wideLink = 100
	// baseFollowers is the part of the number of followers that doesn't depend
	// on the number of routers.
	baseFollowers = 2
)

// Peer is another router from which a message was received recently.
type Peer struct {
	Name string
	// LinkMbps is the bandwidth of its link in Mbit/s; 0 is unknown.
	LinkMbps int
	// Following reports that the peer recently received a response from the
	// store.
	Following bool
}

// FollowsStore reports whether the router follows the store itself. Those with wide links do first, as
// the others get the difference from them, and otherwise the first in hash order, more of them in larger
// fleets. shortage is how long TooFewFollowers has been true: the store may reject just those routers, so
// others join them, or it is out, so they join one after the other.
func FollowsStore(self Peer, peers []Peer, shortage time.Duration) bool {
	wide := map[string]bool{self.Name: self.wide()}
	for _, p := range peers {
		wide[p.Name] = p.wide()
	}
	names := hashOrder(self.Name, peers)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case wide[a] == wide[b]:
			return 0
		case wide[a]:
			return -1
		}
		return 1
	})
	doublings := min(shortage/takeoverInterval, maxTakeovers)
	return slices.Index(names, self.Name) < followerCount(len(names))<<doublings
}

func (p Peer) wide() bool { return p.LinkMbps >= wideLink }

// TooFewFollowers reports whether too few peers get responses from the store to rely on
// them.
func TooFewFollowers(peers []Peer) bool {
	following := 0
	for _, p := range peers {
		if p.Following {
			following++
		}
	}
	return following < minFollowers
}

// FirstRouter returns the first router in hash order.
func FirstRouter(self string, peers []Peer) string { return hashOrder(self, peers)[0] }

// hashOrder returns the names sorted by their hash, which is the same order at
// all routers.
func hashOrder(self string, peers []Peer) []string {
	names := []string{self}
	for _, p := range peers {
		names = append(names, p.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(vanillalug.NameKey(a), vanillalug.NameKey(b)), cmp.Compare(a, b))
	})
	return names
}

// followerCount returns how many routers follow the store. It grows with the
// logarithm of the number of routers.
func followerCount(routers int) int { return baseFollowers + bits.Len(uint(routers)) }
