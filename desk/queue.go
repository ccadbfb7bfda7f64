package desk

import (
	"slices"
	"time"
)

// queue orders requests by start-time fair queueing (Goyal, Vin and Cheng, 1996)
// in two levels: classes by weight, then the workspaces of a class by share.
type queue struct {
	classes     map[string]*classQueue
	virtualTime float64
	size        int
}

type classQueue struct {
	name        string
	weight      int
	startTag    float64
	virtualTime float64
	size        int
	workspaces  map[string]*workspaceQueue
}

type workspaceQueue struct {
	name     string
	share    int
	startTag float64
	waiting  []queuedRequest
}

func newQueue() *queue { return &queue{classes: map[string]*classQueue{}} }

// waitingIn returns the number of queued requests of the class.
func (q *queue) waitingIn(class string) int {
	if c, ok := q.classes[class]; ok {
		return c.size
	}
	return 0
}

// waitingOf returns the number of queued requests of a workspace in the class.
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
// workspace that was idle starts at the current virtual time, so that it gets
// no credit for its idle time.
func (q *queue) push(w queuedRequest) {
	c, ok := q.classes[w.request.class]
	if !ok {
		c = &classQueue{name: w.request.class, workspaces: map[string]*workspaceQueue{}}
		q.classes[c.name] = c
	}
	c.weight = w.request.weight
	if c.size == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	ws, ok := c.workspaces[w.request.workspace]
	if !ok {
		ws = &workspaceQueue{name: w.request.workspace}
		c.workspaces[ws.name] = ws
	}
	ws.share = w.request.share
	if len(ws.waiting) == 0 {
		ws.startTag = max(ws.startTag, c.virtualTime)
	}
	ws.waiting = append(ws.waiting, w)
	c.size++
	q.size++
}

// pop removes the next request whose workspace is eligible.
func (q *queue) pop(eligible func(Request) bool) (queuedRequest, bool) {
	for _, c := range q.ordered() {
		for _, ws := range c.ordered() {
			if !eligible(ws.waiting[0].request) {
				continue
			}
			q.virtualTime = c.startTag
			c.virtualTime = ws.startTag
			c.startTag += 1 / float64(c.weight)
			ws.startTag += 1 / float64(ws.share)
			return q.removeAt(c, ws, 0), true
		}
	}
	return queuedRequest{}, false
}

// remove removes and returns the requests for which match is true.
func (q *queue) remove(match func(queuedRequest) bool) []queuedRequest {
	var out []queuedRequest
	for _, c := range q.ordered() {
		for _, ws := range c.ordered() {
			for i := 0; i < len(ws.waiting); {
				if match(ws.waiting[i]) {
					out = append(out, q.removeAt(c, ws, i))
				} else {
					i++
				}
			}
		}
	}
	return out
}

func (q *queue) removeAt(c *classQueue, ws *workspaceQueue, i int) queuedRequest {
	w := ws.waiting[i]
	ws.waiting = slices.Delete(ws.waiting, i, i+1)
	c.size--
	q.size--
	if len(ws.waiting) == 0 && ws.startTag <= c.virtualTime {
		delete(c.workspaces, ws.name)
	}
	return w
}

// nextDue returns the earliest time at which a queued request is due.
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

// ordered returns the classes with queued requests by start tag.
func (q *queue) ordered() []*classQueue {
	var out []*classQueue
	for _, c := range q.classes {
		if c.size > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *classQueue) int {
		return compareVirtualTime(a.startTag, b.startTag, a.name, b.name)
	})
	return out
}

// ordered returns the workspaces with queued requests by start tag.
func (c *classQueue) ordered() []*workspaceQueue {
	var out []*workspaceQueue
	for _, ws := range c.workspaces {
		if len(ws.waiting) > 0 {
			out = append(out, ws)
		}
	}
	slices.SortFunc(out, func(a, b *workspaceQueue) int {
		return compareVirtualTime(a.startTag, b.startTag, a.name, b.name)
	})
	return out
}

// removeIdle removes the workspaces that have no queued requests and whose start
// tag isn't ahead of the virtual time. Removing one that is ahead would reset the
// service it has already used.
func (q *queue) removeIdle() {
	for _, c := range q.classes {
		for name, ws := range c.workspaces {
			if len(ws.waiting) == 0 && ws.startTag <= c.virtualTime {
				delete(c.workspaces, name)
			}
		}
	}
}
