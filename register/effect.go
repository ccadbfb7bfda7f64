package register

import "vanillalug.example"

// Effect is something that the program carries out for a Register.
type Effect interface{ registerEffect() }

// Fetch asks for the document of a head: from the platform, or from the peer
// when one is named.
type Fetch struct {
	Head Head
	Peer string
}

// Activated reports that a version is in force from now on.
type Activated struct {
	Head  Head
	Fleet *vanillalug.Fleet
}

// LevelUnsupported reports that this build cannot follow the rules level of a version.
type LevelUnsupported struct {
	Head  Head
	Level int
}

// Rejected reports a document that is damaged or not valid.
type Rejected struct {
	Head Head
	Err  error
}

func (Fetch) registerEffect()            {}
func (Activated) registerEffect()        {}
func (LevelUnsupported) registerEffect() {}
func (Rejected) registerEffect()         {}
