package desk

import "time"

// Event is something that happened to a Desk.
type Event interface{ deskEvent() }

// Arrived brings a request. Alternatives are the other engines that may serve
// it, best first; Last says that the request must not be sent elsewhere. Fresh
// says that nothing of it is cached anywhere. Patience is how long it had
// better wait here, where its prompt is cached, than go elsewhere.
type Arrived struct {
	Request      Request
	Pool         Pool
	Alternatives []Alternative
	Last         bool
	Uncached     bool
	LocalityWait time.Duration
}

// Adopted brings a request that runs already, since another router admitted it.
type Adopted struct{ Request Request }

// Finished says that an admitted request has ended.
type Finished struct{ ID string }

// Canceled says that the caller of a waiting request has gone.
type Canceled struct{ ID string }

// LoadReported brings the engine's own count of requests in flight, and how long
// ago the engine took it.
type LoadReported struct {
	InFlight int
	Age      time.Duration
}

// PoolChanged brings a new view of the load of the engines together.
type PoolChanged struct{ Pool Pool }

// Resized brings the largest number of requests that the engine runs at once.
type Resized struct{ Slots int }

// Closed says that the engine takes no new work any more.
type Closed struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrived) deskEvent()      {}
func (Adopted) deskEvent()      {}
func (Finished) deskEvent()     {}
func (Canceled) deskEvent()     {}
func (LoadReported) deskEvent() {}
func (PoolChanged) deskEvent()  {}
func (Resized) deskEvent()      {}
func (Closed) deskEvent()       {}
func (Tick) deskEvent()         {}
