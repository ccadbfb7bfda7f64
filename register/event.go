package register

// Event is an input of a Tracker.
type Event interface{ trackerEvent() }

// HeadRead carries the head read from the platform's table.
type HeadRead struct{ Head Head }

// PeerVersionReceived carries the active version of a peer.
type PeerVersionReceived struct {
	Peer    string
	Version uint64
}

// Fetched carries the document of a head, from the platform or from a peer.
type Fetched struct {
	Head Head
	Text []byte
}

// FetchFailed reports that the document of a head could not be fetched.
type FetchFailed struct{ Head Head }

func (HeadRead) trackerEvent()            {}
func (PeerVersionReceived) trackerEvent() {}
func (Fetched) trackerEvent()             {}
func (FetchFailed) trackerEvent()         {}
