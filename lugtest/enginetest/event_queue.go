package enginetest

import (
	"container/heap"
	"time"
)

// due is something that happens at a time.
type due struct {
	at time.Duration
	// order keeps what falls on the same time in the order it was planned.
	order int
	do    func()
}

// agenda is a fake clock with what is to happen.
type agenda struct {
	now     time.Duration
	planned int
	heap    dues
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func (a *agenda) after(d time.Duration, do func()) {
	a.planned++
	heap.Push(&a.heap, due{at: a.now + d, order: a.planned, do: do})
}

// run lets time pass until the end.
func (a *agenda) run(end time.Duration) {
	for len(a.heap) > 0 && a.heap[0].at <= end {
		d := heap.Pop(&a.heap).(due)
		a.now = d.at
		d.do()
	}
}
