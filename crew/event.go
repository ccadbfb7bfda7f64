package crew

import (
	"time"

	"vanillalug.example"
)

// Event is an input of a View.
type Event interface{ event() }

// Snapshot is the whole registry as of a revision.
type Snapshot struct {
	At       time.Time
	Targets  []Target
	Revision vanillalug.StoreRevision
	// Unconfirmed are targets that are unconfirmed at the peer that sent the
	// snapshot.
	Unconfirmed []UnconfirmedTarget
	// Withdrawn are targets that are withdrawn at that peer.
	Withdrawn []WithdrawnTarget
}

// UnconfirmedTarget is a target whose entry is missing from the registry. It is
// removed unless its entry is back within the time left.
type UnconfirmedTarget struct {
	Target   Target
	TimeLeft time.Duration
}

// Changed reports that a target registered or changed its entry.
type Changed struct {
	At       time.Time
	Target   Target
	Revision vanillalug.StoreRevision
}

// Removed reports that the entry of an id was removed, or no longer describes a
// target.
type Removed struct {
	At       time.Time
	ID       string
	Revision vanillalug.StoreRevision
}

// Batch holds changes that were received together, in order. Some may have the
// same revision, as one transaction may change several entries.
type Batch struct {
	// Changes are of the types Changed and Removed.
	Changes []Event
}

// Delta holds a peer's changes, which lead from a view with the digest to the
// peer's view as of the revision.
type Delta struct {
	Digest   uint64
	Changes  []Event
	Revision vanillalug.StoreRevision
}

// RegistryLost reports that the registry can't be read.
type RegistryLost struct{ At time.Time }

// RegistryRecovered reports that the registry can be read again.
type RegistryRecovered struct{ At time.Time }

// Withdrawals reports targets that are withdrawn at a peer.
type Withdrawals struct {
	At      time.Time
	Targets []WithdrawnTarget
}

// Leaving reports that an incarnation announced in a response that it is leaving. The view may
// have no entry of it, or none any more.
type Leaving struct {
	At     time.Time
	Target Target
}

// Verified reports that a returned target has said itself that it serves, and as the run that its entry is of.
type Verified struct{ Target Target }

// Tick reports the current time, so that unconfirmed targets expire.
type Tick struct{ At time.Time }

func (Snapshot) event()          {}
func (Changed) event()           {}
func (Removed) event()           {}
func (Batch) event()             {}
func (Delta) event()             {}
func (RegistryLost) event()      {}
func (RegistryRecovered) event() {}
func (Withdrawals) event()       {}
func (Leaving) event()           {}
func (Verified) event()          {}
func (Tick) event()              {}

// Effect is a change of a View.
type Effect interface{ effect() }

// Joined reports that an incarnation of a target takes new work from now on.
type Joined struct{ Target Target }

// Left reports that an incarnation takes no new work any more, and why.
type Left struct {
	Target Target
	Reason string
}

// Unconfirmed reports that the entry of a target is missing, which may be due to
// an outage of the registry. The target is removed unless its entry is back by
// the time.
type Unconfirmed struct {
	Target Target
	Until  time.Time
}

// Confirmed reports that the entry of an unconfirmed target is back.
type Confirmed struct{ Target Target }

// Returned reports that the entry of a target is back after its removal, or with Earlier set that it may be of an
// earlier run than one that is known. The target takes no work until a Verified event, or until its entry has stayed
// for withdrawnTime.
type Returned struct {
	Target  Target
	Earlier bool
}

// VersionLearned reports that the software version of a target, unknown before, is known.
type VersionLearned struct{ Target Target }

func (Confirmed) effect()      {}
func (Joined) effect()         {}
func (Returned) effect()       {}
func (Left) effect()           {}
func (Unconfirmed) effect()    {}
func (VersionLearned) effect() {}
