package path

import (
	"context"
	"fmt"
	"time"

	"vanillalug.example/cmd/demo/stage"
)

const (
	idleWarmUp = 4 * time.Second
	idleTime   = 12 * time.Second
)

// Idle is what a router spends on control while no caller sends anything, as
// a mean over the routers.
type Idle struct {
	Routers int
	Bytes   float64
	Cores   float64
	Memory  float64
}

// MeasureIdle measures a fleet that has been started.
func MeasureIdle(ctx context.Context, s *stage.Stage, routers int) (Idle, error) {
	time.Sleep(idleWarmUp)
	before, err := spent(ctx, s, routers)
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(idleTime)
	after, err := spent(ctx, s, routers)
	if err != nil {
		return Idle{}, err
	}
	n := float64(routers) * idleTime.Seconds()
	return Idle{
		Routers: routers,
		Bytes:   (after.Bytes - before.Bytes) / n,
		Cores:   (after.Cores - before.Cores) / n,
		Memory:  after.Memory / float64(routers),
	}, nil
}

// spent sums what all routers have spent so far.
func spent(ctx context.Context, s *stage.Stage, routers int) (Idle, error) {
	var sum Idle
	for i := range routers {
		name := fmt.Sprintf("r%d", i+1)
		bytes, err := counter(ctx, s, name, "vanillalug_control_bytes_total")
		if err != nil {
			return sum, err
		}
		p, err := s.Process(name)
		if err != nil {
			return sum, err
		}
		u, err := p.Usage()
		if err != nil {
			return sum, err
		}
		sum.Bytes += bytes
		sum.Cores += u.CPU.Seconds()
		sum.Memory += float64(u.Memory)
	}
	return sum, nil
}
