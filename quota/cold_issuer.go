package quota

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// coldBurst is the number of unused permits of a cold target that are kept.
	coldBurst = 2
	// MaxColdWait bounds the wait for a permit of a cold target. A router that takes over issuing them
	// lets the time pass first.
	MaxColdWait = 500 * time.Millisecond
	// MaxColdPermitAge is how long a permit of a cold target may be used after it has become valid, by
	// the clock of the router that asked, counted from its call. Any second at the target then has the
	// permits of little more than a second.
	MaxColdPermitAge = 200 * time.Millisecond
)

// coldLimiterOf returns the limiter of a cold target with the current rate. A new one has no permits to
// begin with. The caller holds mu.
func (i *Issuer) coldLimiterOf(target TargetKey, limit Limit, now time.Time) *rate.Limiter {
	perSecond := rate.Limit(limit.cold)
	p, ok := i.cold[target]
	if !ok {
		p = &permits{limiter: rate.NewLimiter(perSecond, coldBurst)}
		p.limiter.AllowN(now, coldBurst)
		i.cold[target] = p
	}
	p.lastUsed = now
	if p.limiter.Limit() != perSecond {
		p.limiter.SetLimitAt(now, perSecond)
	}
	return p.limiter
}
