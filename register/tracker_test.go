package register

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
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

// store is the table with the published versions and the delayed writes, which
// may still take effect.
type store struct {
	published []Record
	delayed   []Record
}

func (s *store) write(r Record) bool {
	if r.head.version != uint64(len(s.published))+1 || r.base != uint64(len(s.published)) {
		return false
	}
	s.published = append(s.published, r)
	return true
}

func (s *store) read(version uint64) RecordRead {
	if version == 0 || version > uint64(len(s.published)) {
		return RecordRead{}
	}
	return RecordRead{Found: true, Record: s.published[version-1]}
}

// operator is a publish operation in progress.
type operator struct {
	publisher *Publisher
	record    Record
	next      PublishEffect
	outcome   PublishEffect
}

func (o *operator) apply(effects []PublishEffect) {
	o.next = nil
	for _, e := range effects {
		switch e.(type) {
		case Published, Conflict, OutcomeUnknown:
			o.outcome = e
		default:
			o.next = e
		}
	}
}

// simulation is the system under test: operators, a store and routers.
type simulation struct {
	clock     *schedule.Fake
	store     *store
	operators []*operator
	routers   []*Tracker
	highest   []uint64
	docs      map[string][]byte
	delayed   []delayedDocument
}

// delayedDocument is a response to a fetch that may arrive again later.
type delayedDocument struct {
	router *Tracker
	event  Fetched
}

func newSimulation(routers int) *simulation {
	s := &simulation{clock: schedule.NewFake(time.Now()), store: &store{}, docs: map[string][]byte{}}
	for range routers {
		s.routers = append(s.routers, New(s.clock, vanillalug.SupportedLevels()))
		s.highest = append(s.highest, 0)
	}
	return s
}

func (s *simulation) begin(t *rapid.T) {
	base := uint64(len(s.store.published))
	if base > 0 && rapid.IntRange(0, 3).Draw(t, "old-base") == 0 {
		base--
	}
	doc := document(len(s.operators), 1)
	h := headOf(base+1, doc)
	h.publication = fmt.Sprintf("operator-%d", len(s.operators))
	s.docs[h.digest] = doc
	o := &operator{record: NewRecord(h, base)}
	o.publisher = NewPublisher(o.record)
	o.apply(o.publisher.Handle(PublishStarted{}))
	s.operators = append(s.operators, o)
}

func (s *simulation) step(t *rapid.T) {
	var open []*operator
	for _, o := range s.operators {
		if o.next != nil {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return
	}
	o := rapid.SampledFrom(open).Draw(t, "operator")
	switch e := o.next.(type) {
	case WriteRecord:
		o.apply(o.publisher.Handle(s.write(t, e.Record)))
	case ReadRecord:
		if rapid.IntRange(0, 9).Draw(t, "unreadable") == 0 {
			o.apply(o.publisher.Handle(RecordReadFailed{Err: errors.New("down")}))
			return
		}
		o.apply(o.publisher.Handle(s.store.read(e.Version)))
	}
}

func (s *simulation) write(t *rapid.T, r Record) PublishEvent {
	switch rapid.SampledFrom([]string{"ok", "lost-before", "lost-after", "late"}).Draw(t, "write") {
	case "lost-before":
		return RecordResponseLost{}
	case "lost-after":
		s.store.write(r)
		return RecordResponseLost{}
	case "late":
		s.store.delayed = append(s.store.delayed, r)
		return RecordResponseLost{}
	}
	if s.store.write(r) {
		return RecordWritten{}
	}
	return RecordConflict{}
}

// poll makes a router read the head, which may be stale unless noFaults is set.
func (s *simulation) poll(t *rapid.T, i int, noFaults bool) {
	r := s.routers[i]
	n := len(s.store.published)
	if !noFaults {
		n = rapid.IntRange(0, n).Draw(t, "stale")
	}
	if n > 0 {
		s.fetch(r, r.Handle(HeadRead{s.store.published[n-1].head}), noFaults || rapid.Bool().Draw(t, "fetch"))
	}
}

func (s *simulation) gossip(t *rapid.T, i, j int, noFaults bool) {
	h := s.routers[j].Head()
	if h.version > 0 {
		effects := s.routers[i].Handle(PeerVersionReceived{Peer: fmt.Sprint(j), Version: h.version})
		s.fetchFrom(j, s.routers[i], effects, noFaults || rapid.Bool().Draw(t, "fetch"))
	}
}

// fetchFrom fetches the active version of a peer, which may be newer than the
// requested one.
func (s *simulation) fetchFrom(peer int, r *Tracker, effects []Effect, succeeds bool) {
	h := s.routers[peer].Head()
	for _, e := range effects {
		if x, ok := e.(Fetch); ok && succeeds {
			r.Handle(Fetched{Head: h, Text: s.docs[h.digest]})
		} else if ok {
			r.Handle(FetchFailed{Head: x.Head})
		}
	}
}

func (s *simulation) fetch(r *Tracker, effects []Effect, succeeds bool) {
	for _, e := range effects {
		if x, ok := e.(Fetch); ok && succeeds {
			fetched := Fetched{Head: x.Head, Text: s.docs[x.Head.digest]}
			s.delayed = append(s.delayed, delayedDocument{router: r, event: fetched})
			r.Handle(fetched)
		} else if ok {
			r.Handle(FetchFailed{Head: x.Head})
		}
	}
}

// check verifies that the versions of a router only increase, and that each is the
// published version of that number. It also compares the result of each operator
// with the published versions.
func (s *simulation) check(t *rapid.T) {
	for i, r := range s.routers {
		h := r.Head()
		require.GreaterOrEqual(t, h.version, s.highest[i])
		s.highest[i] = h.version
		if h.version > 0 {
			require.Equal(t, s.store.published[h.version-1].head, h)
		}
	}
	for _, o := range s.operators {
		n := 0
		for _, r := range s.store.published {
			if r.head.publication == o.record.head.publication {
				n++
			}
		}
		switch o.outcome.(type) {
		case Published:
			require.Equal(t, 1, n)
		case Conflict:
			require.Zero(t, n)
		}
		require.LessOrEqual(t, n, 1)
	}
}

// TestVersionsIncreaseAndConverge runs concurrent operators with lost responses, stale
// reads, delayed writes and router restarts, and calls check after every step. In
// the end all routers have the latest version.
func TestVersionsIncreaseAndConverge(t *testing.T) {
	steps := 0
	lugtest.Check(t, "200", "80", func(t *rapid.T) {
		s := newSimulation(3)
		router := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"begin":  s.begin,
			"step":   s.step,
			"step-2": s.step,
			"late": func(t *rapid.T) {
				if len(s.store.delayed) > 0 {
					s.store.write(s.store.delayed[0])
					s.store.delayed = s.store.delayed[1:]
				}
			},
			"late-document": func(t *rapid.T) {
				if len(s.delayed) > 0 {
					late := rapid.SampledFrom(s.delayed).Draw(t, "late-document")
					late.router.Handle(late.event)
				}
			},
			"poll":   func(t *rapid.T) { s.poll(t, router.Draw(t, "router"), false) },
			"gossip": func(t *rapid.T) { s.gossip(t, router.Draw(t, "to"), router.Draw(t, "from"), false) },
			"restart": func(t *rapid.T) {
				i := router.Draw(t, "restart")
				s.routers[i] = New(s.clock, vanillalug.SupportedLevels())
				s.highest[i] = 0
			},
			"pass": func(t *rapid.T) { s.clock.Advance(3 * time.Second) },
			"": func(t *rapid.T) {
				steps++
				s.check(t)
			},
		})
		s.converge(t)
	})
	t.Logf("%d steps", steps)
}

// converge lets the first router read the store and each other router fetch from
// a peer, without faults, and checks that all have the latest version.
func (s *simulation) converge(t *rapid.T) {
	s.clock.Advance(3 * time.Second)
	s.poll(t, 0, true)
	for i := 1; i < len(s.routers); i++ {
		s.clock.Advance(3 * time.Second)
		s.gossip(t, i, i-1, true)
	}
	for _, r := range s.routers {
		require.Equal(t, uint64(len(s.store.published)), r.Head().Version())
	}
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
