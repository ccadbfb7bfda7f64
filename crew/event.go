package crew

import "time"

// Event is news for a Book.
type Event interface{ event() }

// Listed is the whole registry as of a revision.
type Snapshot struct {
	At       time.Time
	Targets  []Target
	Revision uint64
	// Doubts are targets whose entries are gone, which may be due to the
	// registry's trouble, as a peer believes.
	Unconfirmed []UnconfirmedTarget
}

// Doubt is a target that is gone unless its entry is back within the time.
type UnconfirmedTarget struct {
	Target   Target
	TimeLeft time.Duration
}

// Changed says that a target registered or changed its entry.
type Changed struct {
	At       time.Time
	Target   Target
	Revision uint64
}

// Removed says that the entry of an id is gone, or names no target any more.
type Removed struct {
	At       time.Time
	ID       string
	Revision uint64
}

// Fed are changes that were heard together, in order. Some of them may have the
// same revision, as one transaction may change several entries.
type Batch struct {
	// Changes are of the types Changed and Removed.
	Changes []Event
}

// CaughtUp are a peer's changes, which lead from beliefs with the digest to
// what the peer believes as of the revision.
type Delta struct {
	Digest   uint64
	Changes  []Event
	Revision uint64
}

// Lost says that the registry can't be read any more.
type RegistryLost struct{ At time.Time }

// Regained says that the registry can be read again.
type RegistryRecovered struct{ At time.Time }

// Elapsed says that time has passed.
type Tick struct{ At time.Time }

func (Snapshot) event()          {}
func (Changed) event()           {}
func (Removed) event()           {}
func (Batch) event()             {}
func (Delta) event()             {}
func (RegistryLost) event()      {}
func (RegistryRecovered) event() {}
func (Tick) event()              {}

// Effect is what an event changed in a Book.
type Effect interface{ effect() }

// Joined says that a lifetime takes new work from now on.
type Joined struct{ Target Target }

// Left says that a lifetime takes no new work any more, and why.
type Left struct {
	Target Target
	Reason string
}

// Doubted says that an entry is gone, which may be due to the registry's own
// trouble; it is gone for good unless it is back by the time.
type Unconfirmed struct {
	Target Target
	Until  time.Time
}

// Returned says that the entry of a doubted target is back.
type Confirmed struct{ Target Target }

func (Confirmed) effect()   {}
func (Joined) effect()      {}
func (Left) effect()        {}
func (Unconfirmed) effect() {}
