package desk

import "math"

// Pool is the total load of all interchangeable engines. Its limit is that of
// consistent hashing with bounded loads.
type Pool struct {
	engines int
	load    int
	bound   float64
	floor   int
}

// NewPool returns a Pool of live engines with a total load in requests in flight.
// The bound is the largest multiple of the mean load that one engine may have;
// the floor is the load that each engine may always have.
func NewPool(engines, load int, bound float64, floor int) Pool {
	return Pool{engines: engines, load: load, bound: bound, floor: floor}
}

// Limit returns the largest load of one engine, including the next request.
func (p Pool) Limit() int {
	if p.engines == 0 {
		return p.floor
	}
	mean := float64(p.load+1) / float64(p.engines)
	return max(p.floor, int(math.Ceil(p.bound*mean)))
}

// mean returns the mean load of the engines.
func (p Pool) mean() float64 {
	return float64(p.load) / float64(max(p.engines, 1))
}

// Alternative is another engine that may serve a request.
type Alternative struct {
	engine string
	load   int
	slots  int
}

// NewAlternative returns an engine with its last reported load and the number of
// requests that it can run at once.
func NewAlternative(engine string, load, slots int) Alternative {
	return Alternative{engine: engine, load: load, slots: slots}
}

// Engine returns the name of the engine.
func (a Alternative) Engine() string { return a.engine }
