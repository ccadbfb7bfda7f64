package gateway

import "time"

const (
	// idleRouters is the size of the users' smaller deployment.
	idleRouters = 18
	warmUp      = 8 * time.Second
	idleTime    = 20 * time.Second
)

// Idle is what a router spends while nothing happens, as a mean.
type Idle struct {
	Routers int
	// CPU is processor time, in milliseconds a second.
	CPU float64
	// StoreCalls are calls a second.
	StoreCalls float64
	// Memory is resident, in megabytes.
	Memory float64
}

// MeasureIdle starts a fleet and measures it; files go to the folder.
func MeasureIdle(router, dir string) (Idle, error) {
	s, err := newStage(router, dir, idleRouters)
	if err != nil {
		return Idle{}, err
	}
	defer s.end()
	time.Sleep(warmUp)
	before, _, err := s.all()
	if err != nil {
		return Idle{}, err
	}
	calls := s.store.Calls()
	time.Sleep(idleTime)
	after, memory, err := s.all()
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

// all sums the processor time and the resident memory of all routers.
func (s *measured) all() (processor time.Duration, memory int, err error) {
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
