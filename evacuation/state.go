package evacuation

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"vanillalug.example"
)

const (
	// MaxNameBytes is the length of the longest name of a failure domain.
	MaxNameBytes = 200
	// maxEvacuated bounds the memory for names that are no failure domains.
	maxEvacuated = 1024
	// maxTombstones and tombstoneTime bound how many removals are remembered, and how long.
	maxTombstones = 64
	tombstoneTime = 10 * time.Minute
	// newsTime is how long a change is news for peers.
	newsTime = 10 * time.Second
	// restoreGrace is how long an evacuation lasts that a restored store lacks: the operator
	// writes it again.
	restoreGrace = 10 * time.Second
)

// State holds which failure domains are evacuated. Of the statements about one, that with the
// latest revision counts.
type State struct {
	entries map[string]*entry
	// read is the revision up to which every statement is known: an evacuation up to there that
	// isn't among the entries has ended.
	read vanillalug.StoreRevision
	// complete says that everything stated up to some revision was read, even if not which.
	complete bool
	// epochSince is when the first read of the epoch of read came.
	epochSince time.Time
}

// entry is what is known of one failure domain.
type entry struct {
	Statement
	changedAt time.Time
	newsUntil time.Time
	// endsAt is when the evacuation ends, as of the revision endsAs, as a restored store lacks
	// it; zero if the store has it.
	endsAt time.Time
	endsAs vanillalug.StoreRevision
}

// NewState returns a State without any statement.
func NewState() *State { return &State{entries: map[string]*entry{}} }

// Complete reports whether everything that was stated up to some revision is known.
func (s *State) Complete() bool { return s.complete }

// CompleteAt reports whether everything that was stated up to a revision is known.
func (s *State) CompleteAt(revision vanillalug.StoreRevision) bool {
	return s.complete && !revision.After(s.read)
}

// Places returns the evacuated failure domains.
func (s *State) Places() map[string]bool {
	out := map[string]bool{}
	for place, e := range s.entries {
		if e.Evacuated {
			out[place] = true
		}
	}
	return out
}

// Statements returns the latest statement about each failure domain, in order.
func (s *State) Statements() []Statement {
	return s.collect(func(*entry) bool { return true })
}

// News returns what peers are told: the evacuations, and what changed lately.
func (s *State) News(now time.Time) []Statement {
	return s.collect(func(e *entry) bool { return e.Evacuated || now.Before(e.newsUntil) })
}

func (s *State) collect(keep func(*entry) bool) []Statement {
	var out []Statement
	for _, e := range s.entries {
		if keep(e) {
			out = append(out, e.Statement)
		}
	}
	slices.SortFunc(out, func(a, b Statement) int { return strings.Compare(a.Place, b.Place) })
	return out
}

// Handle applies an event and returns the changes in order.
func (s *State) Handle(e Event) []Effect {
	switch e := e.(type) {
	case Read:
		return s.handleRead(e)
	case Changes:
		effects := s.merge(e.Statements, e.At)
		s.advance(e.Revision, e.At)
		return effects
	case Report:
		return s.merge(e.Statements, e.At)
	case Tick:
		return s.handleTick(e.At)
	}
	return nil
}

// handleRead applies everything as of a revision. If all up to a later one is known, it is merely
// one more report.
func (s *State) handleRead(r Read) []Effect {
	s.complete = true
	if !r.Revision.After(s.read) {
		return s.merge(r.Statements, r.At)
	}
	s.advance(r.Revision, r.At)
	var effects []Effect
	listed := map[string]bool{}
	for _, st := range r.Statements {
		if !validName(st.Place) {
			continue
		}
		// A peer may still have an evacuation that the restored store lacks.
		listed[st.Place] = !st.Evacuated || st.Revision.Epoch() >= r.Revision.Epoch()
		if e := s.entries[st.Place]; e == nil || st.Revision.After(e.Revision) {
			effects = append(effects, s.apply(st, r.At)...)
		}
	}
	for _, place := range s.sortedPlaces() {
		if !listed[place] {
			effects = append(effects, s.endMissing(s.entries[place], r)...)
		}
	}
	return effects
}

// endMissing ends an evacuation that a later read lacks; if the store was restored, after a grace.
func (s *State) endMissing(e *entry, r Read) []Effect {
	if !e.Evacuated || !r.Revision.After(e.Revision) {
		return nil
	}
	if r.Revision.Epoch() == e.Revision.Epoch() {
		return s.apply(Statement{Place: e.Place, Revision: r.Revision}, r.At)
	}
	if e.endsAt.IsZero() {
		e.endsAt = r.At.Add(restoreGrace)
	}
	e.endsAs = r.Revision
	return nil
}

// advance records that everything up to a revision is known.
func (s *State) advance(revision vanillalug.StoreRevision, now time.Time) {
	if !revision.After(s.read) {
		return
	}
	if revision.Epoch() != s.read.Epoch() {
		s.epochSince = now
	}
	s.read = revision
}

// merge applies statements that may be out of date.
func (s *State) merge(statements []Statement, now time.Time) []Effect {
	var effects []Effect
	for _, st := range statements {
		if validName(st.Place) {
			effects = append(effects, s.mergeOne(st, now)...)
		}
	}
	return effects
}

func (s *State) mergeOne(st Statement, now time.Time) []Effect {
	e := s.entries[st.Place]
	switch {
	case e != nil && !st.Revision.After(e.Revision):
		if st.Evacuated == e.Evacuated {
			return nil
		}
		return s.contradict(e, now)
	case st.Revision.After(s.read):
		return s.apply(st, now)
	case !st.Evacuated && e == nil:
		return nil
	case !st.Evacuated:
		return s.apply(st, now)
	case e != nil && e.Evacuated:
		e.Revision = st.Revision
		return nil
	}
	return s.mergeMissing(st, now)
}

// mergeMissing handles an evacuation that the latest read lacks.
func (s *State) mergeMissing(st Statement, now time.Time) []Effect {
	graceEnd := s.epochSince.Add(restoreGrace)
	if st.Revision.Epoch() < s.read.Epoch() && now.Before(graceEnd) {
		effects := s.apply(st, now)
		if e := s.entries[st.Place]; e != nil {
			e.endsAt, e.endsAs = graceEnd, s.read
		}
		return effects
	}
	s.apply(Statement{Place: st.Place, Revision: s.read}, now)
	return []Effect{Contradicted{Place: st.Place}}
}

// contradict makes the statement news again, as a peer has an older one.
func (s *State) contradict(e *entry, now time.Time) []Effect {
	if now.Before(e.newsUntil) {
		return nil
	}
	e.newsUntil = now.Add(newsTime)
	return []Effect{Contradicted{Place: e.Place}}
}

// apply records a statement that is later than what is known.
func (s *State) apply(st Statement, now time.Time) []Effect {
	e := s.entries[st.Place]
	wasEvacuated := e != nil && e.Evacuated
	if st.Evacuated && !wasEvacuated && len(s.entries)-s.tombstones() >= maxEvacuated {
		return []Effect{Ignored{Place: st.Place}}
	}
	s.entries[st.Place] = &entry{Statement: st, changedAt: now, newsUntil: now.Add(newsTime)}
	if !st.Evacuated {
		s.evictTombstones()
	}
	switch {
	case st.Evacuated && !wasEvacuated:
		return []Effect{Evacuated{Place: st.Place, Revision: st.Revision}}
	case !st.Evacuated && wasEvacuated:
		return []Effect{Restored{Place: st.Place, Revision: st.Revision}}
	}
	return nil
}

// handleTick ends the evacuations that a restored store still lacks, and forgets old removals.
func (s *State) handleTick(now time.Time) []Effect {
	var effects []Effect
	for _, place := range s.sortedPlaces() {
		e := s.entries[place]
		switch {
		case e.Evacuated && !e.endsAt.IsZero() && !now.Before(e.endsAt):
			effects = append(effects, s.apply(Statement{Place: place, Revision: e.endsAs}, now)...)
		case !e.Evacuated && now.Sub(e.changedAt) >= tombstoneTime:
			delete(s.entries, place)
		}
	}
	return effects
}

func (s *State) tombstones() int {
	n := 0
	for _, e := range s.entries {
		if !e.Evacuated {
			n++
		}
	}
	return n
}

// evictTombstones forgets the oldest removals beyond maxTombstones.
func (s *State) evictTombstones() {
	var removed []*entry
	for _, e := range s.entries {
		if !e.Evacuated {
			removed = append(removed, e)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, func(a, b *entry) int {
		return cmp.Or(a.changedAt.Compare(b.changedAt), a.Revision.Compare(b.Revision), strings.Compare(a.Place, b.Place))
	})
	for _, e := range removed[:len(removed)-maxTombstones] {
		delete(s.entries, e.Place)
	}
}

func (s *State) sortedPlaces() []string {
	out := make([]string, 0, len(s.entries))
	for place := range s.entries {
		out = append(out, place)
	}
	slices.Sort(out)
	return out
}

func validName(place string) bool { return place != "" && len(place) <= MaxNameBytes }
