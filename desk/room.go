package desk

import "time"

// hasRoom reports whether the request may start now. Once the unreserved part
// of the engine is taken, a workspace that surges far over its fair share has
// to wait.
func (d *Controller) hasRoom(now time.Time, r Request) bool {
	limit := min(d.slots, d.pool.Limit())
	load := d.load(now)
	if load >= limit {
		return false
	}
	if load < limit-limit/reserveDivisor {
		return true
	}
	d.usages.touch(now, r.workspace, r.share)
	share := d.usages.fairShare(r.workspace, limit)
	if d.queue.waitingOf(r.class, r.workspace) <= longQueue {
		share *= reserveFactor
	}
	return d.usages[r.workspace].running < share
}

// load returns the own count and the requests that the engine reported beyond
// it, which another router admitted while the routers disagreed.
func (d *Controller) load(now time.Time) int {
	own := len(d.running)
	if d.reported.IsZero() || now.Sub(d.reported) > reportLifetime {
		return own
	}
	return own + d.foreign
}

func (d *Controller) reportedLoad(now time.Time, e LoadReported) {
	at := now.Add(-e.Age)
	if at.Before(d.reported) {
		return
	}
	ownThen := len(d.running) - d.changes.since(at)
	d.foreign = max(0, e.InFlight-ownThen)
	d.reported = at
	d.changes.forget(at)
}
