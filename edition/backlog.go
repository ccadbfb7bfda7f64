package edition

import (
	"slices"
	"sync"
	"time"
)

const (
	// BacklogRows is the number of rows of the store that are written in turn. With one for
	// each write, the store has the records of the last half minute.
	BacklogRows = 64
	// maxRowSize bounds a row, in bytes: less than any store takes.
	maxRowSize = 32 << 10
	// recordSize is that of a record without its names, in bytes.
	recordSize = 24
	// maxBacklog bounds the records that wait.
	maxBacklog = 16384
	// backlogTime is how long a record waits for its service to have several versions.
	backlogTime = HistoryTime
)

// Backlog collects the records that one router writes to the store for all, once their service
// has several versions. It is safe for concurrent use.
type Backlog struct {
	mu      sync.Mutex
	waiting []waitingRecord
	next    int
}

type waitingRecord struct {
	record Record
	since  time.Time
}

// BacklogRow is a row to be written, with the number of that row, from 0 to BacklogRows - 1.
type BacklogRow struct {
	Number  int
	Records []Record
}

// Add adds a record. The oldest one makes room for it.
func (b *Backlog) Add(r Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.valid() {
		return
	}
	b.expire(now)
	if len(b.waiting) == maxBacklog {
		b.waiting = b.waiting[1:]
	}
	b.waiting = append(b.waiting, waitingRecord{record: r, since: now})
}

// expire removes records that have waited for backlogTime. The caller holds mu.
func (b *Backlog) expire(now time.Time) {
	n := 0
	for n < len(b.waiting) && now.Sub(b.waiting[n].since) > backlogTime {
		n++
	}
	b.waiting = b.waiting[n:]
}

// Take removes the records of services that have several versions, and returns them in the rows
// that are next.
func (b *Backlog) Take(several func(service string) bool, now time.Time) []BacklogRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []BacklogRow
	size := maxRowSize
	for _, w := range b.takeOf(several) {
		add := recordSize + len(w.record.Origin.Service) + len(w.record.Origin.SoftwareVersion)
		if size+add > maxRowSize {
			out = append(out, BacklogRow{Number: b.next})
			b.next = (b.next + 1) % BacklogRows
			size = 0
		}
		row := &out[len(out)-1]
		row.Records = append(row.Records, w.record)
		size += add
	}
	return out
}

// takeOf removes and returns the records of services that have several versions. The caller
// holds mu.
func (b *Backlog) takeOf(several func(service string) bool) []waitingRecord {
	known := map[string]bool{}
	wanted := func(w waitingRecord) bool {
		service := w.record.Origin.Service
		if _, ok := known[service]; !ok {
			known[service] = several(service)
		}
		return known[service]
	}
	if !slices.ContainsFunc(b.waiting, wanted) {
		return nil
	}
	var out, kept []waitingRecord
	for _, w := range b.waiting {
		if wanted(w) {
			out = append(out, w)
		} else {
			kept = append(kept, w)
		}
	}
	b.waiting = kept
	return out
}
