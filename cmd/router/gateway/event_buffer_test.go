package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventBuffer checks that the buffer returns only complete events, no matter
// how the bytes are split.
func TestEventBuffer(t *testing.T) {
	tests := map[string]struct {
		pieces  []string
		sent    string
		last    string
		pending int
	}{
		"one event a piece":         {[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 0},
		"torn event behind a whole": {[]string{"id: 1\ndata: a\n\nid: 2\nda"}, "id: 1\ndata: a\n\n", "1", 8},
		"event in two pieces":       {[]string{"id: 1\nda", "ta: a\n\n"}, "id: 1\ndata: a\n\n", "1", 0},
		"end in two pieces":         {[]string{"id: 1\ndata: a\n", "\n"}, "id: 1\ndata: a\n\n", "1", 0},
		"event without an id":       {[]string{"id: 1\n\n", "data: x\n\n"}, "id: 1\n\ndata: x\n\n", "1", 0},
		"longer than the buffer":    {[]string{"id: 1\ndata: 0123456789", "0123456789\n\n"}, "id: 1\ndata: 01234567890123456789\n\n", "1", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newEventBuffer(8)
			sent, last := "", ""
			for _, piece := range tt.pieces {
				for len(piece) > 0 {
					n := copy(b.free(), piece)
					piece = piece[n:]
					whole := b.advance(n)
					sent += string(whole)
					if id := lastID(whole); id != "" {
						last = id
					}
					b.consume(len(whole))
				}
			}
			require.Equal(t, tt.sent, sent)
			require.Equal(t, tt.last, last)
			require.Equal(t, tt.pending, b.pending())
		})
	}
}
