package receipt

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

func piece(offset int, end bool) Chunk {
	return Chunk{Request: "mine", Offset: offset, Data: []byte(fmt.Sprint(offset)), End: end}
}

func deliver(offset int, end bool) Deliver {
	return Deliver{Offset: offset, Data: []byte(fmt.Sprint(offset)), End: end}
}

func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		events []Event
		want   []Effect
	}{
		"in order": {
			[]Event{piece(0, false), piece(1, true)},
			[]Effect{deliver(0, false), deliver(1, true), Complete{}},
		},
		"out of order": {
			[]Event{piece(1, false), piece(0, false), piece(2, true)},
			[]Effect{deliver(0, false), deliver(1, false), deliver(2, true), Complete{}},
		},
		"repeated": {
			[]Event{piece(0, false), piece(0, false)},
			[]Effect{deliver(0, false), Drop{Reason: Duplicate}},
		},
		"misdirected": {
			[]Event{Chunk{Request: "other"}},
			[]Effect{Drop{Reason: Misdirected}},
		},
		"terminator before its time": {
			[]Event{piece(0, false), piece(2, true), Disconnected{}},
			[]Effect{deliver(0, false), Resume{Offset: 1}},
		},
		"broken": {
			[]Event{piece(0, false), Disconnected{}, piece(1, true)},
			[]Effect{deliver(0, false), Resume{Offset: 1}, deliver(1, true), Complete{}},
		},
		"broken for good": {
			[]Event{Disconnected{}, IdleTimeout{}, Disconnected{}, IdleTimeout{}},
			[]Effect{Resume{}, Resume{}, Resume{}, Fail{}},
		},
		"nothing after the end": {
			[]Event{piece(0, true), piece(1, false), Disconnected{}},
			[]Effect{deliver(0, true), Complete{}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewReassembler("mine", 0)
			var got []Effect
			for _, ev := range tt.events {
				got = append(got, a.Handle(ev)...)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestAnswerIsWholeOrSaysSo: whatever comes in, the caller gets the pieces in
// order and once each, and an answer is complete only with its terminator.
func TestAnswerIsWholeOrSaysSo(t *testing.T) {
	lugtest.Check(t, "300", "60", func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "total")
		a := NewReassembler("mine", 0)
		next, complete, failed := 0, false, false
		take := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Deliver:
					require.Equal(t, next, e.Offset)
					require.Equal(t, fmt.Sprint(next), string(e.Data))
					next++
				case Complete:
					require.Equal(t, total, next)
					complete = true
				case Fail:
					failed = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"piece": func(t *rapid.T) {
				offset := rapid.IntRange(max(0, next-2), min(total-1, next+3)).Draw(t, "offset")
				take(a.Handle(piece(offset, offset == total-1)))
			},
			"other":  func(t *rapid.T) { take(a.Handle(Chunk{Request: "other", Offset: next, Data: []byte("x")})) },
			"broken": func(t *rapid.T) { take(a.Handle(Disconnected{})) },
			"silent": func(t *rapid.T) { take(a.Handle(IdleTimeout{})) },
			"": func(t *rapid.T) {
				require.False(t, complete && failed)
				require.Equal(t, complete, next == total)
			},
		})
	})
}
