package desk

import "time"

// usage is the running requests and the share of one workspace at the engine.
type usage struct {
	share   int
	running int
	seen    time.Time
}

// usages tracks the workspaces active at the engine.
type usages map[string]*usage

func (u usages) touch(now time.Time, workspace string, share int) {
	w, ok := u[workspace]
	if !ok {
		w = &usage{}
		u[workspace] = w
	}
	w.share = share
	w.seen = now
}

func (u usages) expire(now time.Time) {
	for name, w := range u {
		if w.running == 0 && now.Sub(w.seen) > activeWindow {
			delete(u, name)
		}
	}
}

// fairShare returns the workspace's part of the limit by its share, at least one
// request.
func (u usages) fairShare(workspace string, limit int) int {
	total := 0
	for _, w := range u {
		total += w.share
	}
	if total == 0 {
		return limit
	}
	return max(1, limit*u[workspace].share/total)
}
