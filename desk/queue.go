package desk

import (
	"slices"
	"time"
)

// queue orders waiting requests by start-time fair queueing in two levels:
// classes by weight, then the workspaces of a class by share.
type queue struct {
	classes map[string]*classQueue
	virtual float64
	size    int
}

type classQueue struct {
	name       string
	weight     int
	virtual    float64
	now        float64
	size       int
	workspaces map[string]*workspaceQueue
}

type workspaceQueue struct {
	name    string
	share   int
	virtual float64
	waiting []waiting
}

func newQueue() *queue { return &queue{classes: map[string]*classQueue{}} }

// waitingIn returns the number of requests that wait in the class.
func (q *queue) waitingIn(class string) int {
	if c, ok := q.classes[class]; ok {
		return c.size
	}
	return 0
}

// waitingOf returns the number of requests of a workspace that wait in the
// class.
func (q *queue) waitingOf(class, workspace string) int {
	c, ok := q.classes[class]
	if !ok {
		return 0
	}
	ws, ok := c.workspaces[workspace]
	if !ok {
		return 0
	}
	return len(ws.waiting)
}

// push adds a request at the end of its workspace's queue. A class or a
// workspace that was idle starts at the current virtual time, so that it has
// saved up nothing.
func (q *queue) push(w waiting) {
	c, ok := q.classes[w.request.class]
	if !ok {
		c = &classQueue{name: w.request.class, workspaces: map[string]*workspaceQueue{}}
		q.classes[c.name] = c
	}
	c.weight = w.request.weight
	if c.size == 0 {
		c.virtual = max(c.virtual, q.virtual)
	}
	ws, ok := c.workspaces[w.request.workspace]
	if !ok {
		ws = &workspaceQueue{name: w.request.workspace}
		c.workspaces[ws.name] = ws
	}
	ws.share = w.request.share
	if len(ws.waiting) == 0 {
		ws.virtual = max(ws.virtual, c.now)
	}
	ws.waiting = append(ws.waiting, w)
	c.size++
	q.size++
}

// pop removes the next request whose workspace is eligible.
func (q *queue) pop(eligible func(Request) bool) (waiting, bool) {
	for _, c := range q.ordered() {
		for _, ws := range c.ordered() {
			if !eligible(ws.waiting[0].request) {
				continue
			}
			q.virtual = c.virtual
			c.now = ws.virtual
			c.virtual += 1 / float64(c.weight)
			ws.virtual += 1 / float64(ws.share)
			return q.removeAt(c, ws, 0), true
		}
	}
	return waiting{}, false
}

// remove takes out the requests for which the test holds.
func (q *queue) remove(test func(waiting) bool) []waiting {
	var out []waiting
	for _, c := range q.ordered() {
		for _, ws := range c.ordered() {
			for i := 0; i < len(ws.waiting); {
				if test(ws.waiting[i]) {
					out = append(out, q.removeAt(c, ws, i))
				} else {
					i++
				}
			}
		}
	}
	return out
}

func (q *queue) removeAt(c *classQueue, ws *workspaceQueue, i int) waiting {
	w := ws.waiting[i]
	ws.waiting = slices.Delete(ws.waiting, i, i+1)
	c.size--
	q.size--
	if len(ws.waiting) == 0 && ws.virtual <= c.now {
		delete(c.workspaces, ws.name)
	}
	return w
}

// nextDue returns the earliest time at which a waiting request is due.
func (q *queue) nextDue() (time.Time, bool) {
	due, found := time.Time{}, false
	for _, c := range q.classes {
		for _, ws := range c.workspaces {
			for _, w := range ws.waiting {
				if at := w.due(); !found || at.Before(due) {
					due, found = at, true
				}
			}
		}
	}
	return due, found
}

// ordered returns the classes with waiting requests, next first.
func (q *queue) ordered() []*classQueue {
	var out []*classQueue
	for _, c := range q.classes {
		if c.size > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *classQueue) int {
		return compareTurns(a.virtual, b.virtual, a.name, b.name)
	})
	return out
}

// ordered returns the workspaces with waiting requests, next first.
func (c *classQueue) ordered() []*workspaceQueue {
	var out []*workspaceQueue
	for _, ws := range c.workspaces {
		if len(ws.waiting) > 0 {
			out = append(out, ws)
		}
	}
	slices.SortFunc(out, func(a, b *workspaceQueue) int {
		return compareTurns(a.virtual, b.virtual, a.name, b.name)
	})
	return out
}

// forgetIdle drops the workspaces that wait for nothing and owe nothing.
func (q *queue) forgetIdle() {
	for _, c := range q.classes {
		for name, ws := range c.workspaces {
			if len(ws.waiting) == 0 && ws.virtual <= c.now {
				delete(c.workspaces, name)
			}
		}
	}
}
