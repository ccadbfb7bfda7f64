package gateway

import "time"

const (
	// idleRouters is the size of the users' smaller deployment.
	idleRouters = 18
	warmUp      = 8 * time.Second
	idleTime    = 20 * time.Second
)

// Idle is what a router uses while there are no requests, as a mean.
type Idle struct {
	Routers int
	// CPU is processor time, in milliseconds per second.
	CPU float64
	// StoreCalls is the number of calls to the store per second.
	StoreCalls float64
	// Memory is resident memory, in megabytes.
	Memory float64
}

// MeasureIdle starts a fleet and measures it. The routers' files go to dir.
func MeasureIdle(router, dir string) (Idle, error) {
	s, err := newTestFleet(router, dir, idleRouters)
	if err != nil {
		return Idle{}, err
	}
	defer s.close()
	time.Sleep(warmUp)
	before, _, err := s.totalUsage()
	if err != nil {
		return Idle{}, err
	}
	calls := s.store.Calls()
	time.Sleep(idleTime)
	after, memory, err := s.totalUsage()
	if err != nil {
		return Idle{}, err
	}
	n := idleRouters * idleTime.Seconds()
	return Idle{
		Routers:    idleRouters,
		CPU:        float64((after - before).Milliseconds()) / n,
		StoreCalls: float64(s.store.Calls()-calls) / n,
		Memory:     float64(memory) / idleRouters / 1e6,
	}, nil
}

// totalUsage sums the processor time and the resident memory of all routers.
func (s *testFleet) totalUsage() (processor time.Duration, memory int, err error) {
	for i := range s.routers {
		u, err := s.usage(i)
		if err != nil {
			return 0, 0, err
		}
		processor += u.CPU
		memory += u.Memory
	}
	return processor, memory, nil
}
