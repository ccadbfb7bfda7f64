package register

import (
	"fmt"
	"sync"
	"time"

	"vanillalug.example"
	"vanillalug.example/schedule"
)

// fetchTimeout is how long a fetch may take before it is requested again,
// possibly from another source.
const fetchTimeout = 2 * time.Second

// Tracker holds the active version of the fleet document at one router. It is
// safe for concurrent use.
type Tracker struct {
	mu               sync.Mutex
	clock            schedule.Clock
	levels           vanillalug.LevelRange
	head             Head
	fleet            *vanillalug.Fleet
	text             []byte
	since            time.Time
	requested        Head
	source           string
	requestedAt      time.Time
	unsupportedLevel int
	unsupportedHead  Head
}

// New returns a Tracker with no active version, for a build that supports the
// given rules levels.
func New(clock schedule.Clock, levels vanillalug.LevelRange) *Tracker {
	return &Tracker{clock: clock, levels: levels}
}

// Handle processes an event and returns the effects to perform.
func (t *Tracker) Handle(ev Event) []Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := ev.(type) {
	case HeadRead:
		return t.versionSeen(e.Head, "")
	case PeerVersionReceived:
		return t.versionSeen(NewHead(e.Version, "", ""), e.Peer)
	case Fetched:
		return t.fetched(e)
	case FetchFailed:
		if e.Head == t.requested {
			t.requestedAt = time.Time{}
		}
	}
	return nil
}

// Head returns the head of the active version; its version is 0 while there is
// none.
func (t *Tracker) Head() Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head
}

// LatestKnown returns the highest head known. The router may not have its
// document yet or may not support its rules level.
func (t *Tracker) LatestKnown() Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requested.version > t.head.version {
		return t.requested
	}
	return t.head
}

// Fleet returns the active document, or nil while there is none.
func (t *Tracker) Fleet() *vanillalug.Fleet {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet
}

// Active returns the active head and document as a consistent pair.
func (t *Tracker) Active() (Head, *vanillalug.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head, t.fleet
}

// Text returns the text of the active document as it was published.
func (t *Tracker) Text() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text
}

// ActiveSince returns when the active version took effect at this router.
func (t *Tracker) ActiveSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since
}

// Ready reports whether the router may accept new work: it has a document and
// supports the rules level of the newest one.
func (t *Tracker) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet != nil && t.unsupportedLevel == 0
}

// UnsupportedLevel returns the rules level of the newest document if the build
// doesn't support it, or 0.
func (t *Tracker) UnsupportedLevel() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsupportedLevel
}

func (t *Tracker) versionSeen(h Head, peer string) []Effect {
	if h.version <= max(t.head.version, t.unsupportedHead.version) {
		return nil
	}
	if h.version < t.requested.version {
		return nil
	}
	now := t.clock.Now()
	inFlight := !t.requestedAt.IsZero() && now.Sub(t.requestedAt) < fetchTimeout
	if h == t.requested && inFlight {
		return nil
	}
	t.requested = h
	t.source = peer
	t.requestedAt = now
	return []Effect{Fetch{Head: h, Peer: peer}}
}

func (t *Tracker) fetched(e Fetched) []Effect {
	if e.Head.version <= max(t.head.version, t.unsupportedHead.version) {
		return nil
	}
	t.requestedAt = time.Time{}
	f, err := vanillalug.ReadFleet(fmt.Sprintf("version-%d", e.Head.version), e.Text)
	if err != nil {
		return []Effect{Rejected{Head: e.Head, Err: err}}
	}
	if f.Digest() != e.Head.digest {
		err := &DigestError{head: e.Head, digest: f.Digest()}
		return []Effect{Rejected{Head: e.Head, Err: err}}
	}
	if !t.levels.Supports(f.RulesLevel()) {
		t.unsupportedLevel = f.RulesLevel()
		t.unsupportedHead = e.Head
		return []Effect{LevelUnsupported{Head: e.Head, Level: f.RulesLevel()}}
	}
	t.unsupportedLevel = 0
	t.head = e.Head
	t.fleet = f
	t.text = e.Text
	t.since = t.clock.Now()
	return []Effect{Activated{Head: e.Head, Fleet: f}}
}
