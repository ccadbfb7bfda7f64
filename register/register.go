package register

import (
	"fmt"
	"sync"
	"time"

	"vanillalug.example"
	"vanillalug.example/schedule"
)

// fetchTimeout is how long a fetch may take before another source is asked.
const fetchTimeout = 2 * time.Second

// Tracker holds the version in force at one router. It is safe for
// concurrent use.
type Tracker struct {
	mu       sync.Mutex
	clock    schedule.Clock
	levels   vanillalug.LevelRange
	head     Head
	fleet    *vanillalug.Fleet
	text     []byte
	since    time.Time
	wanted   Head
	source   string
	asked    time.Time
	unfit    int
	unfitFor Head
}

// New returns a Register with no version in force, for a build that can
// follow the given rules levels.
func New(clock schedule.Clock, levels vanillalug.LevelRange) *Tracker {
	return &Tracker{clock: clock, levels: levels}
}

// Handle takes an event and returns the effects to carry out.
func (r *Tracker) Handle(ev Event) []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := ev.(type) {
	case HeadRead:
		return r.heard(e.Head, "")
	case PeerVersionReceived:
		return r.heard(NewHead(e.Version, "", ""), e.Peer)
	case Fetched:
		return r.fetched(e)
	case FetchFailed:
		if e.Head == r.wanted {
			r.asked = time.Time{}
		}
	}
	return nil
}

// Head returns the head in force; its version is 0 while there is none.
func (r *Tracker) Head() Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head
}

// LatestKnown returns the highest head known, which the router may not have yet or
// may not be able to follow.
func (r *Tracker) LatestKnown() Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wanted.version > r.head.version {
		return r.wanted
	}
	return r.head
}

// Fleet returns the document in force, or nil while there is none.
func (r *Tracker) Fleet() *vanillalug.Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// Active returns the head and the document in force together.
func (r *Tracker) Active() (Head, *vanillalug.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head, r.fleet
}

// Text returns the document in force as it was published.
func (r *Tracker) Text() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

// ActiveSince returns when the version in force was taken.
func (r *Tracker) ActiveSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since
}

// Ready reports whether the router may take new work: it has a document and
// can follow the rules level of the newest one.
func (r *Tracker) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet != nil && r.unfit == 0
}

// UnsupportedLevel returns the rules level that the build cannot follow, or 0.
func (r *Tracker) UnsupportedLevel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unfit
}

func (r *Tracker) heard(h Head, peer string) []Effect {
	if h.version <= max(r.head.version, r.unfitFor.version) {
		return nil
	}
	if h.version < r.wanted.version {
		return nil
	}
	now := r.clock.Now()
	waiting := !r.asked.IsZero() && now.Sub(r.asked) < fetchTimeout
	if h == r.wanted && waiting {
		return nil
	}
	r.wanted = h
	r.source = peer
	r.asked = now
	return []Effect{Fetch{Head: h, Peer: peer}}
}

func (r *Tracker) fetched(e Fetched) []Effect {
	if e.Head.version <= max(r.head.version, r.unfitFor.version) {
		return nil
	}
	r.asked = time.Time{}
	f, err := vanillalug.ReadFleet(fmt.Sprintf("version-%d", e.Head.version), e.Text)
	if err != nil {
		return []Effect{Rejected{Head: e.Head, Err: err}}
	}
	if f.Digest() != e.Head.digest {
		err := &DigestError{head: e.Head, digest: f.Digest()}
		return []Effect{Rejected{Head: e.Head, Err: err}}
	}
	if !r.levels.Follows(f.RulesLevel()) {
		r.unfit = f.RulesLevel()
		r.unfitFor = e.Head
		return []Effect{LevelUnsupported{Head: e.Head, Level: f.RulesLevel()}}
	}
	r.unfit = 0
	r.head = e.Head
	r.fleet = f
	r.text = e.Text
	r.since = r.clock.Now()
	return []Effect{Activated{Head: e.Head, Fleet: f}}
}
