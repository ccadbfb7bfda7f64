package vanillalug

import "fmt"

// The rules levels that this build can follow.
const (
	LowestRulesLevel  = 1
	HighestRulesLevel = 2
)

// LevelRange is the range of rules levels that a build can follow.
type LevelRange struct {
	low  int
	high int
}

// NewLevelRange returns the range from low to high, both included.
func NewLevelRange(low, high int) LevelRange { return LevelRange{low: low, high: high} }

// BuildLevels returns the range of this build.
func BuildLevels() LevelRange { return NewLevelRange(LowestRulesLevel, HighestRulesLevel) }

// Low returns the lowest level.
func (r LevelRange) Low() int { return r.low }

// High returns the highest level.
func (r LevelRange) High() int { return r.high }

// Follows reports whether the level is in the range.
func (r LevelRange) Follows(level int) bool { return level >= r.low && level <= r.high }

// String implements fmt.Stringer.
func (r LevelRange) String() string { return fmt.Sprintf("%d-%d", r.low, r.high) }
