package receipt

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

func chunk(offset int, end bool) Chunk {
	return Chunk{Request: "mine", Offset: offset, Data: []byte(fmt.Sprint(offset)), End: end}
}

func deliver(offset int, end bool) Deliver {
	return Deliver{Offset: offset, Data: []byte(fmt.Sprint(offset)), End: end}
}

func TestReassembler(t *testing.T) {
	tests := map[string]struct {
		events []Event
		want   []Effect
	}{
		"in order": {
			[]Event{chunk(0, false), chunk(1, true)},
			[]Effect{deliver(0, false), deliver(1, true), Complete{}},
		},
		"out of order": {
			[]Event{chunk(1, false), chunk(0, false), chunk(2, true)},
			[]Effect{deliver(0, false), deliver(1, false), deliver(2, true), Complete{}},
		},
		"duplicate": {
			[]Event{chunk(0, false), chunk(0, false)},
			[]Effect{deliver(0, false), Drop{Reason: Duplicate}},
		},
		"misdirected": {
			[]Event{Chunk{Request: "other"}},
			[]Effect{Drop{Reason: Misdirected}},
		},
		"early terminator": {
			[]Event{chunk(0, false), chunk(2, true), Disconnected{}},
			[]Effect{deliver(0, false), Resume{Offset: 1}},
		},
		"disconnected": {
			[]Event{chunk(0, false), Disconnected{}, chunk(1, true)},
			[]Effect{deliver(0, false), Resume{Offset: 1}, deliver(1, true), Complete{}},
		},
		"too many resumes": {
			[]Event{Disconnected{}, IdleTimeout{}, Disconnected{}, IdleTimeout{}},
			[]Effect{Resume{}, Resume{}, Resume{}, Fail{}},
		},
		"events after the end": {
			[]Event{chunk(0, true), chunk(1, false), Disconnected{}},
			[]Effect{deliver(0, true), Complete{}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewReassembler("mine", 0)
			var got []Effect
			for _, ev := range tt.events {
				got = append(got, r.Handle(ev)...)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestResponseIsCompleteOrFails checks that for any sequence of events the chunks
// are delivered in order and once each, and that a response is complete only with
// its terminator.
func TestResponseIsCompleteOrFails(t *testing.T) {
	lugtest.Check(t, "300", "60", func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "total")
		r := NewReassembler("mine", 0)
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
				take(r.Handle(chunk(offset, offset == total-1)))
			},
			"other":  func(t *rapid.T) { take(r.Handle(Chunk{Request: "other", Offset: next, Data: []byte("x")})) },
			"broken": func(t *rapid.T) { take(r.Handle(Disconnected{})) },
			"silent": func(t *rapid.T) { take(r.Handle(IdleTimeout{})) },
			"": func(t *rapid.T) {
				require.False(t, complete && failed)
				require.Equal(t, complete, next == total)
			},
		})
	})
}
