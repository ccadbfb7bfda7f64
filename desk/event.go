package desk

import "time"

// Event is an input to a Controller.
type Event interface{ controllerEvent() }

// Arrived carries a new request and the current load of the pool. Alternatives
// are the other engines that may serve it, best first. Last is whether it must
// not be sent to another engine. Uncached is whether no engine has any of its
// prompt cached. LocalityWait is how long it should wait for this engine, which
// has its prompt cached, before it spills to another one.
type Arrived struct {
	Request      Request
	Pool         Pool
	Alternatives []Alternative
	Last         bool
	Uncached     bool
	LocalityWait time.Duration
}

// Adopted carries a request that is already running because another router
// admitted it.
type Adopted struct{ Request Request }

// Finished means that an admitted request has ended.
type Finished struct{ ID string }

// Canceled means that the caller of a queued request has disconnected.
type Canceled struct{ ID string }

// LoadReported carries the engine's own count of requests in flight and the age
// of that count.
type LoadReported struct {
	InFlight int
	Age      time.Duration
}

// PoolChanged carries the current load of the pool.
type PoolChanged struct{ Pool Pool }

// Resized carries the number of requests that the engine can run at once. It
// reopens a closed Controller.
type Resized struct{ Slots int }

// Closed means that the engine accepts no more new requests.
type Closed struct{}

// Tick rejects or resubmits the queued requests that are due, and removes idle
// workspaces.
type Tick struct{}

func (Arrived) controllerEvent()      {}
func (Adopted) controllerEvent()      {}
func (Finished) controllerEvent()     {}
func (Canceled) controllerEvent()     {}
func (LoadReported) controllerEvent() {}
func (PoolChanged) controllerEvent()  {}
func (Resized) controllerEvent()      {}
func (Closed) controllerEvent()       {}
func (Tick) controllerEvent()         {}
