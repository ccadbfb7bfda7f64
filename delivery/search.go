package delivery

import "time"

const (
	// silenceTime is how long a reply may take to begin until another peer is asked as well.
	silenceTime = 250 * time.Millisecond
	// arrivalTime is how long a reply may take in all until another peer is asked as well; by then it
	// should have come also over a narrow link that callers use.
	arrivalTime = 1500 * time.Millisecond
	// storeDelay is how long peers have to deliver until the store is asked, which doesn't compress
	// what it sends, and storeInterval the time until it is asked again.
	storeDelay    = 500 * time.Millisecond
	storeInterval = 1500 * time.Millisecond
	// maxCalls is how many peers may be sending at once.
	maxCalls = 3
	// maxSearchTime bounds a search; peers that are still ahead start another one.
	maxSearchTime = 10 * time.Second
	// minWait keeps a search from spinning.
	minWait = 10 * time.Millisecond
)

// Progress is how much of a reply has arrived.
type Progress struct {
	// Received and Total are in bytes; a Total of 0 or less is unknown.
	Received, Total int64
	// For is the time since the first byte.
	For time.Duration
}

// Search is the state of a router that is behind some of its peers. It must not be used
// concurrently.
type Search struct {
	record   *Record
	start    time.Time
	calls    map[string]time.Time // when the calls in progress began, by peer
	notUntil time.Time            // the earliest time of the next call if none is in progress
	// storeAsked is when the store was asked last; zero if it wasn't.
	storeAsked time.Time
}

// NewSearch returns a Search that begins now.
func NewSearch(record *Record, now time.Time) *Search {
	return &Search{record: record, start: now, calls: map[string]time.Time{}}
}

// Over reports whether the search has taken its time.
func (s *Search) Over(now time.Time) bool { return now.Sub(s.start) >= maxSearchTime }

// StoreAsked reports whether the store was asked.
func (s *Search) StoreAsked() bool { return !s.storeAsked.IsZero() }

// Next returns what to do now. The peers are those that are ahead, the best first; progress is that
// of a call in progress.
func (s *Search) Next(now time.Time, peers []string, progress func(peer string) Progress) Action {
	onCourse := s.anyOnCourse(now, progress)
	if !onCourse && !now.Before(s.storeDue()) {
		s.storeAsked = now
		return AskStore{}
	}
	if len(s.calls) == 0 && now.Before(s.notUntil) {
		return s.wait(now, s.notUntil)
	}
	if !onCourse {
		if peer := s.record.pick(peers, s.calls, now); peer != "" {
			ask := Ask{Peer: peer, GiveUp: s.makeRoom(now)}
			s.calls[peer] = now
			return ask
		}
	}
	return s.wait(now, s.storeDue())
}

// Ended records that the call to a peer has ended. If it didn't bring all that was missing, the next
// one waits for the pause.
func (s *Search) Ended(peer string, now time.Time, pause time.Duration) {
	delete(s.calls, peer)
	s.notUntil = now.Add(pause)
}

// wait waits until a time, but no longer than until a call in progress is to be judged again.
func (s *Search) wait(now, until time.Time) Wait {
	return Wait{For: max(min(until.Sub(now), silenceTime), minWait)}
}

// storeDue returns when the store is to be asked.
func (s *Search) storeDue() time.Time {
	if s.storeAsked.IsZero() {
		return s.start.Add(storeDelay)
	}
	return s.storeAsked.Add(storeInterval)
}

// anyOnCourse reports whether a reply is expected to arrive in time.
func (s *Search) anyOnCourse(now time.Time, progress func(peer string) Progress) bool {
	for peer, began := range s.calls {
		if OnCourse(now.Sub(began), progress(peer)) {
			return true
		}
	}
	return false
}

// OnCourse reports whether a reply to a call that began some time ago will arrive in time if it goes
// on arriving as it did.
func OnCourse(elapsed time.Duration, p Progress) bool {
	if p.Received <= 0 {
		return elapsed < silenceTime
	}
	expected := elapsed
	if p.Total > 0 {
		expected += time.Duration(float64(p.For) * float64(p.Total-p.Received) / float64(p.Received))
	}
	return expected < arrivalTime
}

// makeRoom gives up the oldest call if there are as many as may be. It returns its peer.
func (s *Search) makeRoom(now time.Time) string {
	if len(s.calls) < maxCalls {
		return ""
	}
	oldest := ""
	for peer, began := range s.calls {
		if oldest == "" || began.Before(s.calls[oldest]) {
			oldest = peer
		}
	}
	delete(s.calls, oldest)
	s.record.Failed(oldest, now)
	return oldest
}
