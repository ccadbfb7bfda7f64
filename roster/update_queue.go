package roster

import (
	"cmp"
	"slices"
)

// updateQueue holds the members whose updates are still propagated by gossip, with
// the number of times that each was sent. Urgent ones go first, then those sent
// least often.
type updateQueue struct {
	sent map[string]int
}

func (q *updateQueue) add(name string) {
	if q.sent == nil {
		q.sent = map[string]int{}
	}
	q.sent[name] = 0
}

// take returns up to n names and removes those that have been sent limit times.
func (q *updateQueue) take(n, limit int, urgent func(name string) bool) []string {
	names := make([]string, 0, len(q.sent))
	for name := range q.sent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(compareUrgency(urgent(a), urgent(b)), cmp.Compare(q.sent[a], q.sent[b]), cmp.Compare(a, b))
	})
	names = names[:min(n, len(names))]
	for _, name := range names {
		q.sent[name]++
		if q.sent[name] >= limit {
			delete(q.sent, name)
		}
	}
	return names
}

// compareUrgency orders urgent members first.
func compareUrgency(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
