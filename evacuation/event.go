package evacuation

import (
	"time"

	"vanillalug.example"
)

// Statement says whether a failure domain is evacuated, as of a revision of the store: that of the
// row that says so, or of its removal.
type Statement struct {
	Place     string
	Evacuated bool
	Revision  vanillalug.StoreRevision
}

// Event is an input of a State.
type Event interface{ event() }

// Read has everything that was stated as of a revision: the rows of the store's table, or what a
// peer knows that has all up to there. The revision is zero if the peer didn't state it.
type Read struct {
	At         time.Time
	Revision   vanillalug.StoreRevision
	Statements []Statement
}

// Changes has the changes up to a revision, in order, since one that the State has all up to.
type Changes struct {
	At         time.Time
	Revision   vanillalug.StoreRevision
	Statements []Statement
}

// Report has what a peer knows, which may be out of date or incomplete.
type Report struct {
	At         time.Time
	Statements []Statement
}

// Tick says that time has passed.
type Tick struct{ At time.Time }

func (Read) event()    {}
func (Changes) event() {}
func (Report) event()  {}
func (Tick) event()    {}

// Effect is a change of a State.
type Effect interface{ effect() }

// Evacuated reports that a failure domain is evacuated from now on.
type Evacuated struct {
	Place    string
	Revision vanillalug.StoreRevision
}

// Restored reports that a failure domain is not evacuated any more.
type Restored struct {
	Place    string
	Revision vanillalug.StoreRevision
}

// Contradicted reports that a peer has an older statement of a failure domain, so that the newer
// one is to be sent again.
type Contradicted struct{ Place string }

// Ignored reports that an evacuation was ignored, as too many failure domains are evacuated.
type Ignored struct{ Place string }

func (Evacuated) effect()    {}
func (Restored) effect()     {}
func (Contradicted) effect() {}
func (Ignored) effect()      {}
