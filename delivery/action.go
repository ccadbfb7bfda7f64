package delivery

import "time"

// Action is what to do next in a Search.
type Action interface{ action() }

// Ask means to call a peer.
type Ask struct {
	Peer string
	// GiveUp is the peer whose call is cancelled to make room; "" if there is room.
	GiveUp string
}

// AskStore means to poll the store.
type AskStore struct{}

// Wait means to do nothing for a time, or until a call has ended.
type Wait struct{ For time.Duration }

func (Ask) action()      {}
func (AskStore) action() {}
func (Wait) action()     {}
