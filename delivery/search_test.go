package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// silent is the progress of calls whose replies don't begin.
func silent(string) Progress { return Progress{} }

// arrived is the progress of a reply of which a part has arrived since some ms ago.
func arrived(received, total, ms int) Progress {
	return Progress{Received: int64(received), Total: int64(total), For: time.Duration(ms) * time.Millisecond}
}

// run returns the actions of a search besides waiting, by their time in ms.
func run(s *Search, untilMS int, peers []string, progress func(string) Progress) map[int]Action {
	out := map[int]Action{}
	for ms := 0; ms < untilMS; {
		a := s.Next(at(ms), peers, progress)
		w, waits := a.(Wait)
		if !waits {
			out[ms] = a
			ms++
			continue
		}
		ms += int(w.For.Milliseconds())
	}
	return out
}

func asked(actions map[int]Action) (peers map[string]bool, store int) {
	peers = map[string]bool{}
	for _, a := range actions {
		switch a := a.(type) {
		case Ask:
			peers[a.Peer] = true
		case AskStore:
			store++
		case Wait:
		}
	}
	return peers, store
}

// TestSilentPeers guards against waiting for one peer while others have what is missing: each silent
// one is joined by another, ten of them within the platform's limit of 3 s, and by the store.
func TestSilentPeers(t *testing.T) {
	peers := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	got, store := asked(run(NewSearch(NewRecord(), start), 3000, peers, silent))
	require.Len(t, got, len(peers))
	require.GreaterOrEqual(t, store, 2)
}

// TestReplyOnCourseIsAwaited guards against asking further peers, or the store, for a reply that is
// arriving: the link would carry the same several times.
func TestReplyOnCourseIsAwaited(t *testing.T) {
	tests := map[string]struct {
		received func(ms int) Progress
		peers    int
		store    bool
	}{
		"arrives in 1.2 s":          {func(ms int) Progress { return arrived(ms, 1200, ms) }, 1, false},
		"of unknown length":         {func(ms int) Progress { return arrived(ms, 0, ms) }, 1, false},
		"a byte now and then":       {func(ms int) Progress { return arrived(ms/300+1, 100_000, ms) }, 3, true},
		"would take 3 s":            {func(ms int) Progress { return arrived(ms, 3000, ms) }, 3, true},
		"begins late, then arrives": {func(ms int) Progress { return arrived(max(0, ms-200), 400, max(0, ms-200)) }, 1, false},
		"never begins":              {func(int) Progress { return Progress{} }, 3, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSearch(NewRecord(), start)
			peers, store := map[string]bool{}, false
			for ms := 0; ms < 1200; {
				a := s.Next(at(ms), []string{"a", "b", "c"}, func(string) Progress { return tt.received(ms) })
				switch a := a.(type) {
				case Ask:
					peers[a.Peer] = true
				case AskStore:
					store = true
				case Wait:
					ms += int(a.For.Milliseconds())
				}
			}
			require.Len(t, peers, tt.peers)
			require.Equal(t, tt.store, store)
		})
	}
}

// TestCallsAreBounded checks that no more than maxCalls are in progress, and that the one given up is
// the oldest and is asked last.
func TestCallsAreBounded(t *testing.T) {
	record := NewRecord()
	s := NewSearch(record, start)
	run(s, 1200, []string{"a", "b", "c", "d"}, silent)
	require.Len(t, s.calls, maxCalls)
	require.Equal(t, "e", record.pick([]string{"a", "e"}, nil, at(1200)), "a was given up")
	require.Equal(t, "a", record.pick([]string{"a"}, nil, at(1200)), "there is no other")
	require.Equal(t, "a", record.pick([]string{"a", "e"}, nil, at(1200+3000)), "the failure is forgotten")
}

// TestBusyPeerIsLeftToOthers checks that a peer that has sent much lately isn't asked again at once,
// and that the search pauses when there is no other.
func TestBusyPeerIsLeftToOthers(t *testing.T) {
	record := NewRecord()
	s := NewSearch(record, start)
	require.Equal(t, Ask{Peer: "a"}, s.Next(at(0), []string{"a"}, silent))
	record.Busy("a", at(10))
	s.Ended("a", at(10), 100*time.Millisecond)
	require.Equal(t, Wait{For: 100 * time.Millisecond}, s.Next(at(10), []string{"a"}, silent))
	require.IsType(t, Wait{}, s.Next(at(110), []string{"a"}, silent))
	require.Equal(t, Ask{Peer: "b"}, s.Next(at(110), []string{"a", "b"}, silent))
	record.Delivered("a")
	require.Equal(t, "a", record.pick([]string{"a"}, nil, at(111)))
}
