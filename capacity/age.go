package capacity

import "time"

// Age returns how long ago a target was last observed by any router, or stated its slowness; known is
// false if it was not.
func (t *Table) Age(key TargetKey, now time.Time) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of, ok := t.targets[key]
	if !ok {
		return 0, false
	}
	newest := of.statedAt
	for k := range kinds {
		if of.all[k].at.After(newest) {
			newest = of.all[k].at
		}
	}
	if newest.IsZero() {
		return 0, false
	}
	return max(now.Sub(newest), 0), true
}
