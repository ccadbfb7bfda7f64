package path

import (
	"context"
	"fmt"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/traffic"
)

const (
	idleWarmUp = 4 * time.Second
	idleTime   = 12 * time.Second
)

// Idle is what a router uses while there are no requests, as a mean over the
// routers: control bytes per second, cores, and bytes of resident memory.
type Idle struct {
	Routers     int
	Bytes       float64
	BytesByKind map[string]float64
	Cores       float64
	Memory      float64
}

// MeasureIdle measures a started fleet without requests.
func MeasureIdle(ctx context.Context, s *stage.Stage, routers int) (Idle, error) {
	time.Sleep(idleWarmUp)
	before, err := totalUsage(ctx, s, routers)
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(idleTime)
	after, err := totalUsage(ctx, s, routers)
	if err != nil {
		return Idle{}, err
	}
	n := float64(routers) * idleTime.Seconds()
	kinds := map[string]float64{}
	for kind := range after.BytesByKind {
		kinds[kind] = (after.BytesByKind[kind] - before.BytesByKind[kind]) / n
	}
	return Idle{
		Routers:     routers,
		BytesByKind: kinds,
		Bytes:       (after.Bytes - before.Bytes) / n,
		Cores:       (after.Cores - before.Cores) / n,
		Memory:      after.Memory / float64(routers),
	}, nil
}

// totalUsage sums what all routers have used so far, with processor seconds as
// Cores.
func totalUsage(ctx context.Context, s *stage.Stage, routers int) (Idle, error) {
	sum := Idle{BytesByKind: map[string]float64{}}
	for i := range routers {
		name := fmt.Sprintf("r%d", i+1)
		kinds, err := traffic.ReadControlBytes(ctx, s.Address(name+"/operators"))
		if err != nil {
			return sum, err
		}
		for kind, n := range kinds {
			sum.BytesByKind[kind] += n
			sum.Bytes += n
		}
		p, err := s.Process(name)
		if err != nil {
			return sum, err
		}
		u, err := p.Usage()
		if err != nil {
			return sum, err
		}
		sum.Cores += u.CPU.Seconds()
		sum.Memory += float64(u.Memory)
	}
	return sum, nil
}
