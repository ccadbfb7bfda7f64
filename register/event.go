package register

// Event is something that happened to a Register.
type Event interface{ registerEvent() }

// HeadRead brings the head read from the platform's table.
type HeadRead struct{ Head Head }

// PeerVersionReceived brings the version in force at a peer.
type PeerVersionReceived struct {
	Peer    string
	Version uint64
}

// Fetched brings the document of a head, from the table or from a peer.
type Fetched struct {
	Head Head
	Text []byte
}

// FetchFailed says that the document of a head could not be had.
type FetchFailed struct{ Head Head }

func (HeadRead) registerEvent()            {}
func (PeerVersionReceived) registerEvent() {}
func (Fetched) registerEvent()             {}
func (FetchFailed) registerEvent()         {}
