package edition

import (
	"sync"
	"time"
)

const (
	// recordTime is how long a record is kept: longer than callers wait for a stream.
	recordTime = time.Minute
	// maxRecords bounds the records of one router.
	maxRecords = 16384
	// maxNameLength bounds the service and the version of a record, in bytes.
	maxNameLength = 256
)

// Record says where a stream began.
type Record struct {
	Key    StreamKey
	Origin Origin
}

// valid reports whether a record may be believed and kept.
func (r Record) valid() bool {
	return r.Origin.Service != "" && r.Origin.SoftwareVersion != "" &&
		len(r.Origin.Service) <= maxNameLength && len(r.Origin.SoftwareVersion) <= maxNameLength
}

// Records holds the records of one router, its own and those that peers gave it to hold. It
// is safe for concurrent use.
type Records struct {
	mu    sync.Mutex
	byKey map[StreamKey]entry
	// added has the keys in the order in which they were added.
	added []addition
}

type entry struct {
	origin Origin
	// ambiguous says that there were records of several origins.
	ambiguous bool
}

type addition struct {
	key StreamKey
	at  time.Time
}

// NewRecords returns Records without any.
func NewRecords() *Records { return &Records{byKey: map[StreamKey]entry{}} }

// Add adds a record. One that can't be true is ignored; of two that contradict each other
// neither is believed.
func (l *Records) Add(r Record, now time.Time) {
	if !r.valid() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if known, ok := l.byKey[r.Key]; ok {
		known.ambiguous = known.ambiguous || known.origin != r.Origin
		l.byKey[r.Key] = known
		return
	}
	if len(l.added) >= maxRecords {
		l.dropFirst()
	}
	l.byKey[r.Key] = entry{origin: r.Origin}
	l.added = append(l.added, addition{key: r.Key, at: now})
}

// find returns what is known of a stream.
func (l *Records) find(key StreamKey, now time.Time) (found entry, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	found, ok = l.byKey[key]
	return found, ok
}

// expire drops old records; the caller holds mu.
func (l *Records) expire(now time.Time) {
	for len(l.added) > 0 && now.Sub(l.added[0].at) > recordTime {
		l.dropFirst()
	}
}

func (l *Records) dropFirst() {
	delete(l.byKey, l.added[0].key)
	l.added = l.added[1:]
}
