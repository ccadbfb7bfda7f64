package desk

import "time"

// hasCapacity reports whether the request may start now. Once the unreserved part
// of the engine is in use, a workspace that surges far over its fair share must
// wait.
func (c *Controller) hasCapacity(now time.Time, r Request) bool {
	limit := min(c.slots, c.pool.Limit())
	load := c.load(now)
	if load >= limit {
		return false
	}
	if load < limit-limit/reserveDivisor {
		return true
	}
	c.usages.touch(now, r.workspace, r.share)
	share := c.usages.fairShare(r.workspace, limit)
	if c.queue.waitingOf(r.class, r.workspace) <= longQueue {
		share *= reserveFactor
	}
	return c.usages[r.workspace].running < share
}

// load returns the number of requests that this router has running at the engine
// plus those that the engine reported beyond them. Another router admitted these
// while the routers disagreed on the owner.
func (c *Controller) load(now time.Time) int {
	own := len(c.running)
	if c.reported.IsZero() || now.Sub(c.reported) > reportTTL {
		return own
	}
	return own + c.external
}

func (c *Controller) loadReported(now time.Time, e LoadReported) {
	at := now.Add(-e.Age)
	if at.Before(c.reported) {
		return
	}
	ownThen := len(c.running) - c.changes.since(at)
	c.external = max(0, e.InFlight-ownThen)
	c.reported = at
	c.changes.trim(at)
}
