package evacuation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func at(epoch, number uint64) vanillalug.StoreRevision {
	return vanillalug.NewStoreRevision(epoch, number)
}

func evacuated(place string, r vanillalug.StoreRevision) Statement {
	return Statement{Place: place, Evacuated: true, Revision: r}
}

func removed(place string, r vanillalug.StoreRevision) Statement {
	return Statement{Place: place, Revision: r}
}

func read(r vanillalug.StoreRevision, statements ...Statement) Event {
	return Read{At: start, Revision: r, Statements: statements}
}

func report(statements ...Statement) Event { return Report{At: start, Statements: statements} }

func changes(r vanillalug.StoreRevision, statements ...Statement) Event {
	return Changes{At: start, Revision: r, Statements: statements}
}

// later moves an event to a time after the start.
func later(d time.Duration, e Event) Event {
	at := start.Add(d)
	switch e := e.(type) {
	case Read:
		e.At = at
		return e
	case Changes:
		e.At = at
		return e
	case Report:
		e.At = at
		return e
	}
	return Tick{At: at}
}

// TestState guards against an older copy that undoes a newer statement, and against an evacuation
// that never ends or ends too early.
func TestState(t *testing.T) {
	tests := map[string]struct {
		events  []Event
		effects []Effect
	}{
		"row in the first read": {
			[]Event{read(at(0, 5), evacuated("a", at(0, 3)))},
			[]Effect{Evacuated{"a", at(0, 3)}},
		},
		"taken back and evacuated again at once": {
			[]Event{
				read(at(0, 5), evacuated("a", at(0, 3))),
				changes(at(0, 7), removed("a", at(0, 6)), evacuated("a", at(0, 7))),
			},
			[]Effect{Evacuated{"a", at(0, 3)}, Restored{"a", at(0, 6)}, Evacuated{"a", at(0, 7)}},
		},
		"late report of a peer": {
			[]Event{changes(at(0, 6), evacuated("a", at(0, 3)), removed("a", at(0, 6))), report(evacuated("a", at(0, 3)))},
			[]Effect{Evacuated{"a", at(0, 3)}, Restored{"a", at(0, 6)}},
		},
		"late report after the peers were told": {
			[]Event{
				changes(at(0, 6), evacuated("a", at(0, 3)), removed("a", at(0, 6))),
				later(newsTime, report(evacuated("a", at(0, 3)))),
				later(newsTime, report(evacuated("a", at(0, 3)))),
			},
			[]Effect{Evacuated{"a", at(0, 3)}, Restored{"a", at(0, 6)}, Contradicted{"a"}},
		},
		"late report of what the read lacks": {
			[]Event{read(at(0, 9)), report(evacuated("a", at(0, 3)))},
			[]Effect{Contradicted{"a"}},
		},
		"late list of a peer with what the read lacks": {
			[]Event{read(at(0, 9)), read(at(0, 5), evacuated("a", at(0, 3)))},
			[]Effect{Contradicted{"a"}},
		},
		"removal in a read after lost history": {
			[]Event{report(evacuated("a", at(0, 3))), read(at(0, 9))},
			[]Effect{Evacuated{"a", at(0, 3)}, Restored{"a", at(0, 9)}},
		},
		"read before the row": {
			[]Event{report(evacuated("a", at(0, 9))), read(at(0, 5))},
			[]Effect{Evacuated{"a", at(0, 9)}},
		},
		"restored store lacks the row, which is written again": {
			[]Event{
				read(at(1, 5), evacuated("a", at(1, 5))), read(at(2, 3)),
				later(restoreGrace-1, Tick{}),
				later(restoreGrace-1, changes(at(2, 4), evacuated("a", at(2, 4)))),
				later(2*restoreGrace, Tick{}),
			},
			[]Effect{Evacuated{"a", at(1, 5)}},
		},
		"restored store lacks the row for good": {
			[]Event{read(at(1, 5), evacuated("a", at(1, 5))), read(at(2, 3)), later(restoreGrace, Tick{})},
			[]Effect{Evacuated{"a", at(1, 5)}, Restored{"a", at(2, 3)}},
		},
		"read again within the grace": {
			[]Event{
				read(at(1, 5), evacuated("a", at(1, 5))), read(at(2, 3)),
				later(restoreGrace/2, read(at(2, 4))), later(restoreGrace, Tick{}),
			},
			[]Effect{Evacuated{"a", at(1, 5)}, Restored{"a", at(2, 4)}},
		},
		"router started after the restore hears of the lost row": {
			[]Event{read(at(2, 3)), report(evacuated("a", at(1, 5))), later(restoreGrace, Tick{})},
			[]Effect{Evacuated{"a", at(1, 5)}, Restored{"a", at(2, 3)}},
		},
		"complete list of a peer with a row that the restored store lacks": {
			[]Event{read(at(2, 3), evacuated("a", at(1, 5))), later(restoreGrace, Tick{})},
			[]Effect{Evacuated{"a", at(1, 5)}, Restored{"a", at(2, 3)}},
		},
		"ends at once if it is removed again": {
			[]Event{read(at(1, 5), evacuated("a", at(1, 5))), read(at(2, 3)), report(removed("a", at(1, 6)))},
			[]Effect{Evacuated{"a", at(1, 5)}, Restored{"a", at(1, 6)}},
		},
		"name that is too long, and none": {
			[]Event{read(at(0, 5), evacuated(strings.Repeat("x", MaxNameBytes+1), at(0, 3)), evacuated("", at(0, 4)))},
			nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			var effects []Effect
			for _, e := range tt.events {
				effects = append(effects, s.Handle(e)...)
			}
			require.Equal(t, tt.effects, effects)
		})
	}
}

// TestComplete guards against a router that serves, or passes a list on as complete, before it
// knows every evacuation.
func TestComplete(t *testing.T) {
	s := NewState()
	s.Handle(report(evacuated("a", at(0, 3))))
	require.False(t, s.Complete())
	s.Handle(read(at(0, 5)))
	require.True(t, s.Complete())
	require.True(t, s.CompleteAt(at(0, 5)))
	require.False(t, s.CompleteAt(at(0, 6)))
	s.Handle(changes(at(0, 6)))
	require.True(t, s.CompleteAt(at(0, 6)))
	require.False(t, s.CompleteAt(at(1, 1)))
}

// TestBounds guards against memory that grows with the names that were ever evacuated, and against
// a removal that is forgotten too early.
func TestBounds(t *testing.T) {
	s := NewState()
	for i := range 3 * maxTombstones {
		place := fmt.Sprint(i)
		s.Handle(later(time.Duration(i), report(evacuated(place, at(0, uint64(2*i+1))))))
		s.Handle(later(time.Duration(i), report(removed(place, at(0, uint64(2*i+2))))))
	}
	require.Len(t, s.Statements(), maxTombstones)
	s.Handle(later(tombstoneTime-time.Second, Tick{}))
	require.Len(t, s.Statements(), maxTombstones)
	s.Handle(later(tombstoneTime+time.Second, Tick{}))
	require.Empty(t, s.Statements())
	for i := range maxEvacuated {
		s.Handle(report(evacuated(fmt.Sprint(i), at(0, 1000))))
	}
	require.Equal(t, []Effect{Ignored{"more"}}, s.Handle(report(evacuated("more", at(0, 1000)))))
	require.Len(t, s.Places(), maxEvacuated)
}
