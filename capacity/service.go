package capacity

import (
	"slices"
	"time"
)

// service is what is usual at the targets of a service.
type service struct {
	targets []*target
	// usual is the median of the targets' averages; 0 if none was observed.
	usual [kinds]usualValue
	// observed says that something is known.
	observed bool
	// computedAt is in nanoseconds of the time of day.
	computedAt int64
}

const (
	// usualAge is how long the medians are used before they are computed anew.
	usualAge = 200 * time.Millisecond
	// minUsualWeight is the weight at which a target's average counts for the median while
	// others have more.
	minUsualWeight = 0.05
)

// refresh computes the medians if they are old.
func (s *service) refresh(now time.Time, nanos int64) {
	if age := nanos - s.computedAt; age >= 0 && age < int64(usualAge) {
		return
	}
	s.computedAt = nanos
	means := make([]float64, 0, len(s.targets))
	for k := range kinds {
		means = means[:0]
		for _, t := range s.targets {
			if t.all[k].weightAt(now, timeConstant) >= minUsualWeight {
				means = append(means, t.all[k].mean())
			}
		}
		// With few targets observed, what was usual before is the better guess.
		if len(means) == 0 || s.usual[k].value > 0 && 2*len(means) < min(len(s.targets), minMedian) {
			continue
		}
		slices.Sort(means)
		s.usual[k] = newUsualValue(means[(len(means)-1)/2])
		s.observed = true
	}
}

// minMedian is the number of targets of which half are to be observed for a new median.
const minMedian = 8
