package quota

import (
	"sync"
	"time"
)

// TargetKey identifies an incarnation of a target.
type TargetKey uint64

// Table holds what each target stated last about its limit. A limit holds until a later
// response doesn't name it. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	stated map[TargetKey]statement
}

// statement is what a target stated at a time.
type statement struct {
	limit Limit
	at    time.Time
}

// NewTable returns a Table without limits.
func NewTable() *Table { return &Table{stated: map[TargetKey]statement{}} }

// Observe records the limit in a response of a target to this router. It returns the one
// that was known before.
func (t *Table) Observe(target TargetKey, limit Limit, now time.Time) (before Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.stated[target]
	if !ok && !limit.limited {
		return Limit{}
	}
	t.stated[target] = statement{limit: limit, at: now}
	return known.limit
}

// Limit returns the limit of a target.
func (t *Table) Limit(target TargetKey) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated[target].limit
}
