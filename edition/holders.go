package edition

import "vanillalug.example"

const (
	// Copies is the number of routers that are sent a record, in different failure domains
	// where there are so many.
	Copies = 3
	// Asked is the number of routers that are asked for one: twice the copies, as routers may
	// have joined or failed since.
	Asked = 2 * Copies
)

// Holders returns up to n of the routers for the record of a stream, given the place of each by
// name. All routers that know the same ones return the same, and of a greater n the first ones
// are the same.
func Holders(key StreamKey, places map[string]string, n int) []string {
	names := make([]string, 0, len(places))
	for name := range places {
		names = append(names, name)
	}
	ranked := vanillalug.Rank(uint64(key), names)
	out := make([]string, 0, n)
	for len(out) < n && len(ranked) > 0 {
		first, rest := firstOfEachPlace(ranked, places)
		out = append(out, first[:min(len(first), n-len(out))]...)
		ranked = rest
	}
	return out
}

// firstOfEachPlace splits names in their order into the first of each place and the rest.
func firstOfEachPlace(names []string, places map[string]string) (first, rest []string) {
	taken := map[string]bool{}
	for _, name := range names {
		if taken[places[name]] {
			rest = append(rest, name)
			continue
		}
		taken[places[name]] = true
		first = append(first, name)
	}
	return first, rest
}
