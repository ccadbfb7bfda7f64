package peer

import "slices"

// TargetIndex numbers the targets of one version of the fleet document, so that
// gossip messages refer to targets by number instead of name. It is immutable.
type TargetIndex struct {
	version uint64
	targets []string
	numbers map[string]uint32
}

// NewTargetIndex returns the index of the targets of a document version.
func NewTargetIndex(version uint64, targets []string) *TargetIndex {
	x := &TargetIndex{version: version, targets: slices.Sorted(slices.Values(targets)), numbers: map[string]uint32{}}
	for i, t := range x.targets {
		x.numbers[t] = uint32(i)
	}
	return x
}

// Version returns the version of the document, 0 for none.
func (x *TargetIndex) Version() uint64 { return x.version }

// Number returns the number of a target.
func (x *TargetIndex) Number(target string) (uint32, bool) {
	n, ok := x.numbers[target]
	return n, ok
}

// Target returns the target with the number.
func (x *TargetIndex) Target(number uint32) (string, bool) {
	if int(number) >= len(x.targets) {
		return "", false
	}
	return x.targets[number], true
}
