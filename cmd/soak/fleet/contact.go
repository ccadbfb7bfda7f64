package fleet

import "time"

// contactTime is the contact bound of docs/HARD-LOAD.md: a router is in touch if it ran, had a path to
// the store, and the store answered, for so long.
const contactTime = 4 * time.Second

// contact tells which routers were in touch.
type contact struct {
	// storeFaults are the times in which the store was down, silent or reset connections.
	storeFaults *FaultTracker
	// storeReplaced are the times in which the store served a restored copy without what was written
	// since, and those at which it dropped its history.
	storeReplaced *FaultTracker
}

func newContact() contact {
	return contact{storeFaults: &FaultTracker{}, storeReplaced: &FaultTracker{}}
}

// inTouch reports whether a router was in touch at a time.
func (c contact) inTouch(r *Router, at time.Time) bool {
	return c.inTouchBetween(r, at.Add(-contactTime), at)
}

// inTouchBetween reports whether a router ran and reached the store all the time.
func (c contact) inTouchBetween(r *Router, since, until time.Time) bool {
	return r.ranBetween(since, until) && r.storeLink.quietBetween(since, until) && c.storeFaults.quietBetween(since, until)
}
