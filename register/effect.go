package register

import "vanillalug.example"

// Effect is an action that the program performs for a Tracker.
type Effect interface{ trackerEffect() }

// Fetch requests the document of a head: from the platform, or from Peer if that
// is not "".
type Fetch struct {
	Head Head
	Peer string
}

// Activated reports that a version has become the active one.
type Activated struct {
	Head  Head
	Fleet *vanillalug.Fleet
}

// LevelUnsupported reports that this build doesn't support the rules level of a
// version.
type LevelUnsupported struct {
	Head  Head
	Level int
}

// Rejected reports a document that is corrupt or not valid.
type Rejected struct {
	Head Head
	Err  error
}

func (Fetch) trackerEffect()            {}
func (Activated) trackerEffect()        {}
func (LevelUnsupported) trackerEffect() {}
func (Rejected) trackerEffect()         {}
