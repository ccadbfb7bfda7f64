package desk

import "time"

// changeLog records when requests started and ended since the last load report
// of the engine.
type changeLog struct {
	changes []change
}

type change struct {
	at    time.Time
	delta int
}

// maxChanges bounds the log while the engine sends no load reports.
const maxChanges = 8192

func (l *changeLog) add(at time.Time, delta int) {
	if len(l.changes) == maxChanges {
		l.changes = append(l.changes[:0], l.changes[maxChanges/2:]...)
	}
	l.changes = append(l.changes, change{at: at, delta: delta})
}

// since returns the sum of the changes after the time.
func (l *changeLog) since(at time.Time) int {
	sum := 0
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].at.After(at); i-- {
		sum += l.changes[i].delta
	}
	return sum
}

func (l *changeLog) trim(until time.Time) {
	i := 0
	for i < len(l.changes) && !l.changes[i].at.After(until) {
		i++
	}
	l.changes = append(l.changes[:0], l.changes[i:]...)
}
