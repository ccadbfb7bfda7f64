package enginetest

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at time.Duration
	// seq orders events with the same time by when they were scheduled.
	seq int
	run func()
}

// eventQueue is a fake clock with its scheduled events.
type eventQueue struct {
	now       time.Duration
	scheduled int
	heap      eventHeap
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules a function to run after a duration.
func (q *eventQueue) after(d time.Duration, run func()) {
	q.scheduled++
	heap.Push(&q.heap, event{at: q.now + d, seq: q.scheduled, run: run})
}

// run advances the clock and runs the events until the end time.
func (q *eventQueue) run(end time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		e := heap.Pop(&q.heap).(event)
		q.now = e.at
		e.run()
	}
}
