package register

import (
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/schedule"
)

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
