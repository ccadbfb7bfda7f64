package peer

import "slices"

// TargetIndex numbers the targets of one version of the fleet document, so that
// messages need not spell out their names. It never changes.
type TargetIndex struct {
	version uint64
	targets []string
	numbers map[string]uint32
}

// NewTargetIndex returns the index of a version with the names of its targets.
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

// Target returns the target of a number.
func (x *TargetIndex) Target(number uint32) (string, bool) {
	if int(number) >= len(x.targets) {
		return "", false
	}
	return x.targets[number], true
}
