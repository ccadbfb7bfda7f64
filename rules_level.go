package vanillalug

import "fmt"

// The rules levels that this build supports. Rules that all routers have to
// apply in the same way change only with the active level:
//
//   - PlainRank ranks engines by rendezvous hashing.
//   - WeightedRank ranks them by rendezvous hashing weighted by their slots.
//   - EvacuatedPlaces allows the key "evacuated" of places. Builds that don't support
//     it reject a document with the key and go on with the one before.
const (
	PlainRank       = 1
	WeightedRank    = 2
	EvacuatedPlaces = 3

	LowestRulesLevel  = PlainRank
	HighestRulesLevel = EvacuatedPlaces
)

// LevelRange is the range of rules levels that a build supports.
type LevelRange struct {
	low  int
	high int
}

// NewLevelRange returns the range from low to high, both included.
func NewLevelRange(low, high int) LevelRange { return LevelRange{low: low, high: high} }

// ParseLevelRange parses the format of LevelRange.String.
func ParseLevelRange(s string) (LevelRange, error) {
	var r LevelRange
	if _, err := fmt.Sscanf(s, "%d-%d", &r.low, &r.high); err != nil {
		return LevelRange{}, fmt.Errorf("ParseLevelRange: %q: want two levels such as 1-2: %w", s, err)
	}
	if r.low < 1 || r.high < r.low {
		return LevelRange{}, fmt.Errorf("ParseLevelRange: %q: want the lower level first, 1 at least", s)
	}
	return r, nil
}

// SupportedLevels returns the rules levels that this build supports.
func SupportedLevels() LevelRange { return NewLevelRange(LowestRulesLevel, HighestRulesLevel) }

// Low returns the lowest level.
func (r LevelRange) Low() int { return r.low }

// High returns the highest level.
func (r LevelRange) High() int { return r.high }

// Supports reports whether the level is in the range.
func (r LevelRange) Supports(level int) bool { return level >= r.low && level <= r.high }

// String implements fmt.Stringer.
func (r LevelRange) String() string { return fmt.Sprintf("%d-%d", r.low, r.high) }
