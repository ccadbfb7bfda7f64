package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/schedule"
)

// document returns a canonical document; documents with different numbers
// differ.
func document(number, level int) []byte {
	f, err := vanillalug.ReadFleet("test", fmt.Appendf(nil, "[fleet]\nname = f%d\nrules-level = %d\n", number, level))
	if err != nil {
		panic(err)
	}
	return f.Canonical()
}

func headOf(version uint64, doc []byte) Head {
	f, err := vanillalug.ReadFleet("test", doc)
	if err != nil {
		panic(err)
	}
	return NewHead(version, f.Digest(), fmt.Sprint(version))
}

func newTracker() *Tracker {
	return New(schedule.NewFake(time.Now()), vanillalug.NewLevelRange(1, 2))
}

func TestTracker(t *testing.T) {
	one, two, raised := document(1, 1), document(2, 1), document(3, 3)
	tests := map[string]struct {
		events []Event
		want   []Effect
		ready  bool
	}{
		"head of the first version":  {[]Event{HeadRead{headOf(1, one)}}, []Effect{Fetch{Head: headOf(1, one)}}, false},
		"version of a peer":          {[]Event{PeerVersionReceived{"r2", 1}}, []Effect{Fetch{Head: NewHead(1, "", ""), Peer: "r2"}}, false},
		"head older than active":     {[]Event{Fetched{headOf(2, two), two}, HeadRead{headOf(1, one)}}, nil, true},
		"head same as active":        {[]Event{Fetched{headOf(2, two), two}, HeadRead{headOf(2, two)}}, nil, true},
		"fetch in flight":            {[]Event{HeadRead{headOf(1, one)}, HeadRead{headOf(1, one)}}, nil, false},
		"fetch failed":               {[]Event{HeadRead{headOf(1, one)}, FetchFailed{headOf(1, one)}, HeadRead{headOf(1, one)}}, []Effect{Fetch{Head: headOf(1, one)}}, false},
		"document older than active": {[]Event{Fetched{headOf(2, two), two}, Fetched{headOf(1, one), one}}, nil, true},
		"rules level not supported":  {[]Event{Fetched{headOf(2, two), two}, Fetched{headOf(3, raised), raised}}, []Effect{LevelUnsupported{Head: headOf(3, raised), Level: 3}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newTracker()
			var got []Effect
			for _, ev := range tt.events {
				got = r.Handle(ev)
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.ready, r.Ready())
		})
	}
}

// TestRouterRecoversFromUnsupportedLevel checks that a router that doesn't support
// the rules level of a version is ready again once a later version lowers the
// level.
func TestRouterRecoversFromUnsupportedLevel(t *testing.T) {
	r := newTracker()
	r.Handle(Fetched{headOf(1, document(1, 1)), document(1, 1)})
	require.True(t, r.Ready())
	r.Handle(Fetched{headOf(2, document(1, 3)), document(1, 3)})
	require.False(t, r.Ready())
	require.Equal(t, 3, r.UnsupportedLevel())
	require.Equal(t, uint64(1), r.Head().Version())
	r.Handle(Fetched{headOf(3, document(1, 2)), document(1, 2)})
	require.True(t, r.Ready())
}

func TestCorruptDocumentIsRejected(t *testing.T) {
	r := newTracker()
	effects := r.Handle(Fetched{headOf(1, document(1, 1)), document(2, 1)})
	rejected, ok := effects[0].(Rejected)
	require.True(t, ok)
	var digest *DigestError
	require.True(t, errors.As(rejected.Err, &digest))
	require.Equal(t, uint64(0), r.Head().Version())
}

func TestCompare(t *testing.T) {
	before := []byte("[fleet]\nname = a\nbound = 1.25\n\n[place x]\nregion = r\n")
	after := []byte("[fleet]\nname = a\nbound = 1.5\n\n[place y]\nregion = r\n")
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, c.String())
	}
	require.Equal(t, []string{
		"~ [fleet] bound = 1.5 (was 1.25)",
		"- [place x] region = r",
		"+ [place y] region = r",
	}, got)
}

func TestRecordRoundTrip(t *testing.T) {
	r := NewRecord(NewHead(7, "d", "p"), 6, WithAuthor("ana"), WithReason("why"), WithRulesLevel(2),
		WithTime(time.Date(2026, 12, 4, 1, 2, 3, 0, time.UTC)))
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	var got Record
	require.NoError(t, json.Unmarshal(raw, &got))
	require.Equal(t, r, got)
}
