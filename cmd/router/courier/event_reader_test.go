package courier

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readEvents(text string) ([]Event, error) {
	r := NewEventReader(strings.NewReader(text), "own", 7)
	var out []Event
	for {
		ev, err := r.Next()
		if err != nil {
			return out, err
		}
		out = append(out, ev)
	}
}

func TestEventReader(t *testing.T) {
	tests := map[string]struct {
		text string
		want []Event
	}{
		"with id":                      {"id: q/3\ndata: x\n\n", []Event{{Request: "q", Offset: 3, Data: []byte("x")}}},
		"without id":                   {"data: x\n\ndata: y\n\n", []Event{{Request: "own", Offset: 7, Data: []byte("x")}, {Request: "own", Offset: 8, Data: []byte("y")}}},
		"without id after one with id": {"id: q/3\ndata: x\n\ndata: y\n\n", []Event{{Request: "q", Offset: 3, Data: []byte("x")}, {Request: "own", Offset: 4, Data: []byte("y")}}},
		"terminator":                   {"data: [DONE]\n\n", []Event{{Request: "own", Offset: 7, Data: []byte("[DONE]"), End: true}}},
		"comments":                     {":\n\n: beat\n\ndata: x\n\n", []Event{{Request: "own", Offset: 7, Data: []byte("x")}}},
		"carriage returns":             {"data: x\r\n\r\n", []Event{{Request: "own", Offset: 7, Data: []byte("x")}}},
		"several lines":                {"data: x\ndata: y\n\n", []Event{{Request: "own", Offset: 7, Data: []byte("x\ny")}}},
		"named":                        {"event: verdict\ndata: {}\n\ndata: x\n\n", []Event{{Name: "verdict", Request: "own", Offset: 7, Data: []byte("{}")}, {Request: "own", Offset: 7, Data: []byte("x")}}},
		"truncated":                    {"data: x\n\ndata: y\n", []Event{{Request: "own", Offset: 7, Data: []byte("x")}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := readEvents(tt.text)
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestEventReaderErrors(t *testing.T) {
	_, err := readEvents("id: nonsense\ndata: x\n\n")
	var id *IDError
	require.True(t, errors.As(err, &id))
	require.Equal(t, "nonsense", id.ID())
	_, err = readEvents("data: " + strings.Repeat("x", maxEventBytes+10) + "\n\n")
	var large *TooLargeError
	require.True(t, errors.As(err, &large))
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: q/3\ndata: x\n\n")
	f.Add("event: verdict\ndata: {}\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readEvents(text)
		require.Error(t, err)
		for _, ev := range events {
			require.GreaterOrEqual(t, ev.Offset, 0)
		}
	})
}
