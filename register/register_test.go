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

// text is a document that differs with its mark.
func text(mark, level int) []byte {
	f, err := vanillalug.ReadFleet("test", fmt.Appendf(nil, "[fleet]\nname = f%d\nrules-level = %d\n", mark, level))
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

func newRegister() *Tracker {
	return New(schedule.NewFake(time.Now()), vanillalug.NewLevelRange(1, 2))
}

func TestRegister(t *testing.T) {
	one, two, raised := text(1, 1), text(2, 1), text(3, 3)
	tests := map[string]struct {
		events []Event
		want   []Effect
		ready  bool
	}{
		"first version":          {[]Event{HeadRead{headOf(1, one)}}, []Effect{Fetch{Head: headOf(1, one)}}, false},
		"heard from a peer":      {[]Event{PeerVersionReceived{"r2", 1}}, []Effect{Fetch{Head: NewHead(1, "", ""), Peer: "r2"}}, false},
		"older than in force":    {[]Event{Fetched{headOf(2, two), two}, HeadRead{headOf(1, one)}}, nil, true},
		"same as in force":       {[]Event{Fetched{headOf(2, two), two}, HeadRead{headOf(2, two)}}, nil, true},
		"asked already":          {[]Event{HeadRead{headOf(1, one)}, HeadRead{headOf(1, one)}}, nil, false},
		"asked but failed":       {[]Event{HeadRead{headOf(1, one)}, FetchFailed{headOf(1, one)}, HeadRead{headOf(1, one)}}, []Effect{Fetch{Head: headOf(1, one)}}, false},
		"older document arrives": {[]Event{Fetched{headOf(2, two), two}, Fetched{headOf(1, one), one}}, nil, true},
		"cannot follow":          {[]Event{Fetched{headOf(2, two), two}, Fetched{headOf(3, raised), raised}}, []Effect{LevelUnsupported{Head: headOf(3, raised), Level: 3}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRegister()
			var got []Effect
			for _, ev := range tt.events {
				got = r.Handle(ev)
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.ready, r.Ready())
		})
	}
}

// TestUnfitRouterRecovers: a router that cannot follow a version takes new
// work again once a later version brings the level back.
func TestUnfitRouterRecovers(t *testing.T) {
	r := newRegister()
	r.Handle(Fetched{headOf(1, text(1, 1)), text(1, 1)})
	require.True(t, r.Ready())
	r.Handle(Fetched{headOf(2, text(1, 3)), text(1, 3)})
	require.False(t, r.Ready())
	require.Equal(t, 3, r.UnsupportedLevel())
	require.Equal(t, uint64(1), r.Head().Version())
	r.Handle(Fetched{headOf(3, text(1, 2)), text(1, 2)})
	require.True(t, r.Ready())
}

func TestDamagedDocumentIsRejected(t *testing.T) {
	r := newRegister()
	effects := r.Handle(Fetched{headOf(1, text(1, 1)), text(2, 1)})
	rejected, ok := effects[0].(Rejected)
	require.True(t, ok)
	var digest *DigestError
	require.True(t, errors.As(rejected.Err, &digest))
	require.Equal(t, uint64(0), r.Head().Version())
}

// store is the table with the versions that are accepted, and writes that are
// still under way.
type store struct {
	accepted []Record
	late     []Record
}

func (s *store) write(r Record) bool {
	if r.head.version != uint64(len(s.accepted))+1 || r.base != uint64(len(s.accepted)) {
		return false
	}
	s.accepted = append(s.accepted, r)
	return true
}

func (s *store) read(version uint64) RecordRead {
	if version == 0 || version > uint64(len(s.accepted)) {
		return RecordRead{}
	}
	return RecordRead{Found: true, Record: s.accepted[version-1]}
}

// operator is a publishing under way.
type operator struct {
	decision *Publisher
	record   Record
	next     PublishEffect
	outcome  PublishEffect
}

func (o *operator) carry(effects []PublishEffect) {
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

// fleet is the whole system under test: operators, a store and routers.
type fleet struct {
	clock     *schedule.Fake
	store     *store
	operators []*operator
	routers   []*Tracker
	highest   []uint64
	docs      map[string][]byte
	late      []lateDocument
}

// lateDocument is an answer to a fetch that is still under way.
type lateDocument struct {
	router *Tracker
	event  Fetched
}

func newFleet(routers int) *fleet {
	f := &fleet{clock: schedule.NewFake(time.Now()), store: &store{}, docs: map[string][]byte{}}
	for range routers {
		f.routers = append(f.routers, New(f.clock, vanillalug.BuildLevels()))
		f.highest = append(f.highest, 0)
	}
	return f
}

func (f *fleet) begin(t *rapid.T) {
	base := uint64(len(f.store.accepted))
	if base > 0 && rapid.IntRange(0, 3).Draw(t, "old-base") == 0 {
		base--
	}
	doc := text(len(f.operators), 1)
	h := headOf(base+1, doc)
	h.publication = fmt.Sprintf("operator-%d", len(f.operators))
	f.docs[h.digest] = doc
	o := &operator{record: NewRecord(h, base)}
	o.decision = NewPublisher(o.record)
	o.carry(o.decision.Handle(PublishStarted{}))
	f.operators = append(f.operators, o)
}

func (f *fleet) step(t *rapid.T) {
	var open []*operator
	for _, o := range f.operators {
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
		o.carry(o.decision.Handle(f.write(t, e.Record)))
	case ReadRecord:
		if rapid.IntRange(0, 9).Draw(t, "unreadable") == 0 {
			o.carry(o.decision.Handle(RecordReadFailed{Err: errors.New("down")}))
			return
		}
		o.carry(o.decision.Handle(f.store.read(e.Version)))
	}
}

func (f *fleet) write(t *rapid.T, r Record) PublishEvent {
	switch rapid.SampledFrom([]string{"ok", "lost-before", "lost-after", "late"}).Draw(t, "write") {
	case "lost-before":
		return RecordResponseLost{}
	case "lost-after":
		f.store.write(r)
		return RecordResponseLost{}
	case "late":
		f.store.late = append(f.store.late, r)
		return RecordResponseLost{}
	}
	if f.store.write(r) {
		return RecordWritten{}
	}
	return RecordConflict{}
}

// poll lets a router read the head, which may be stale, or hear of a peer's.
func (f *fleet) poll(t *rapid.T, i int, clean bool) {
	r := f.routers[i]
	n := len(f.store.accepted)
	if !clean {
		n = rapid.IntRange(0, n).Draw(t, "stale")
	}
	if n > 0 {
		f.fetch(r, r.Handle(HeadRead{f.store.accepted[n-1].head}), clean || rapid.Bool().Draw(t, "fetch"))
	}
}

func (f *fleet) gossip(t *rapid.T, i, j int, clean bool) {
	h := f.routers[j].Head()
	if h.version > 0 {
		effects := f.routers[i].Handle(PeerVersionReceived{Peer: fmt.Sprint(j), Version: h.version})
		f.fetchFrom(j, f.routers[i], effects, clean || rapid.Bool().Draw(t, "fetch"))
	}
}

// fetchFrom fetches what a peer has in force, which may be newer than asked.
func (f *fleet) fetchFrom(peer int, r *Tracker, effects []Effect, works bool) {
	h := f.routers[peer].Head()
	for _, e := range effects {
		if x, ok := e.(Fetch); ok && works {
			r.Handle(Fetched{Head: h, Text: f.docs[h.digest]})
		} else if ok {
			r.Handle(FetchFailed{Head: x.Head})
		}
	}
}

func (f *fleet) fetch(r *Tracker, effects []Effect, works bool) {
	for _, e := range effects {
		if x, ok := e.(Fetch); ok && works {
			fetched := Fetched{Head: x.Head, Text: f.docs[x.Head.digest]}
			f.late = append(f.late, lateDocument{router: r, event: fetched})
			r.Handle(fetched)
		} else if ok {
			r.Handle(FetchFailed{Head: x.Head})
		}
	}
}

// check holds the versions against the oracle: at every router they only rise,
// and each is the accepted one of its number.
func (f *fleet) check(t *rapid.T) {
	for i, r := range f.routers {
		h := r.Head()
		require.GreaterOrEqual(t, h.version, f.highest[i])
		f.highest[i] = h.version
		if h.version > 0 {
			require.Equal(t, f.store.accepted[h.version-1].head, h)
		}
	}
	for _, o := range f.operators {
		n := 0
		for _, r := range f.store.accepted {
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

// TestOneConfigurationInForce lets operators race, answers get lost, reads be
// stale, and routers start again, and checks the oracle after every step.
func TestOneConfigurationInForce(t *testing.T) {
	steps := 0
	lugtest.Check(t, "200", "80", func(t *rapid.T) {
		f := newFleet(3)
		router := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"begin":  f.begin,
			"step":   f.step,
			"step-2": f.step,
			"late": func(t *rapid.T) {
				if len(f.store.late) > 0 {
					f.store.write(f.store.late[0])
					f.store.late = f.store.late[1:]
				}
			},
			"late-document": func(t *rapid.T) {
				if len(f.late) > 0 {
					late := rapid.SampledFrom(f.late).Draw(t, "late-document")
					late.router.Handle(late.event)
				}
			},
			"poll":   func(t *rapid.T) { f.poll(t, router.Draw(t, "router"), false) },
			"gossip": func(t *rapid.T) { f.gossip(t, router.Draw(t, "to"), router.Draw(t, "from"), false) },
			"restart": func(t *rapid.T) {
				i := router.Draw(t, "restart")
				f.routers[i] = New(f.clock, vanillalug.BuildLevels())
				f.highest[i] = 0
			},
			"pass": func(t *rapid.T) { f.clock.Advance(3 * time.Second) },
			"": func(t *rapid.T) {
				steps++
				f.check(t)
			},
		})
		f.converge(t)
	})
	t.Logf("%d steps", steps)
}

// converge lets the first router reach the store and the others reach a peer.
func (f *fleet) converge(t *rapid.T) {
	f.clock.Advance(3 * time.Second)
	f.poll(t, 0, true)
	for i := 1; i < len(f.routers); i++ {
		f.clock.Advance(3 * time.Second)
		f.gossip(t, i, i-1, true)
	}
	for _, r := range f.routers {
		require.Equal(t, uint64(len(f.store.accepted)), r.Head().Version())
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
