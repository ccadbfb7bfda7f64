package quota

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the number of permits a second that are issued whatever the limit is:
	// only a response tells that the limit has risen.
	minRate = 0.1
	// minBurst is the number of unused permits that are kept at any rate, and burstTime the
	// time for which more of them are.
	minBurst  = 2
	burstTime = 250 * time.Millisecond
	// idleTime is the time without requests after which a target is forgotten.
	idleTime = 30 * time.Second
)

// Permit is the answer to a router that wants to send one request to a target.
type Permit struct {
	// Granted says that the request may be sent, after Wait.
	Granted bool
	// Wait is the time until then; if not granted, the time until it is worth to ask
	// again.
	Wait time.Duration
}

// Issuer gives out the permits of targets that name a limit. One router issues those of a
// target for all routers. It is safe for concurrent use.
type Issuer struct {
	mu      sync.Mutex
	targets map[TargetKey]*permits
	places  map[TargetKey]*places
	// cold has the permits of targets while they are cold.
	cold map[TargetKey]*permits
}

// permits are those of one target.
type permits struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// NewIssuer returns an Issuer that hasn't issued any permit.
func NewIssuer() *Issuer {
	return &Issuer{targets: map[TargetKey]*permits{}, places: map[TargetKey]*places{}, cold: map[TargetKey]*permits{}}
}

// Take returns a permit that is valid after maxWait at most, if the limit allows one. For a target that
// is cold and names a limit, both must allow it.
func (i *Issuer) Take(target TargetKey, limit Limit, maxWait time.Duration, now time.Time) Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	var reservations []*rate.Reservation
	if limit.Cold() {
		reservations = append(reservations, i.coldLimiterOf(target, limit, now).ReserveN(now, 1))
		maxWait = min(maxWait, MaxColdWait)
	}
	if limit.limited {
		reservations = append(reservations, i.limiterOf(target, limit, now).ReserveN(now, 1))
	}
	wait := time.Duration(0)
	for _, r := range reservations {
		wait = max(wait, r.DelayFrom(now))
	}
	if wait <= maxWait {
		return Permit{Granted: true, Wait: wait}
	}
	for _, r := range reservations {
		r.CancelAt(now)
	}
	return Permit{Wait: wait}
}

// limiterOf returns the limiter of a target, with the current limit. A new one has no
// permits to begin with, as another router may have issued those of the last seconds. The
// caller holds mu.
func (i *Issuer) limiterOf(target TargetKey, limit Limit, now time.Time) *rate.Limiter {
	perSecond := rate.Limit(max(limit.rate, minRate))
	burst := minBurst + int(limit.rate*burstTime.Seconds())
	p, ok := i.targets[target]
	if !ok {
		p = &permits{limiter: rate.NewLimiter(perSecond, burst)}
		p.limiter.AllowN(now, burst)
		i.targets[target] = p
	}
	p.lastUsed = now
	if p.limiter.Limit() != perSecond {
		p.limiter.SetLimitAt(now, perSecond)
		p.limiter.SetBurstAt(now, burst)
	}
	return p.limiter
}

// Expire forgets the targets that nobody has asked for lately.
func (i *Issuer) Expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for target, p := range i.targets {
		if now.Sub(p.lastUsed) > idleTime {
			delete(i.targets, target)
		}
	}
	for target, p := range i.cold {
		if now.Sub(p.lastUsed) > idleTime {
			delete(i.cold, target)
		}
	}
	for target, p := range i.places {
		if now.Sub(p.lastUsed) > idleTime {
			delete(i.places, target)
		}
	}
}
