package path

import (
	"context"
	"fmt"
	"sync"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/load/caller"
	"vanillalug.example/cmd/measure/slope"
)

// streamCounts are the numbers of open streams at which memory is read.
var streamCounts = []int{250, 500, 1000, 2000}

const settleTime = 2 * time.Second

// Streams measures the resident memory of the router that relays and of the
// one that admits, by open streams. Engines have to be slow, so that the streams
// stay open meanwhile.
func Streams(ctx context.Context, s *stage.Stage) (relaying, admitting []slope.Point, err error) {
	admitter, other, err := findAdmitter(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	open := 0
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	c := caller.New()
	for _, n := range streamCounts {
		var started sync.WaitGroup
		for ; open < n; open++ {
			started.Add(1)
			turn := newTurn(s.Address(other), fmt.Sprintf("open-%d", open), longResponseTokens)
			turn.OnToken = func(n int) {
				if n == 1 {
					started.Done()
				}
			}
			wg.Go(func() { c.Chat(ctx, turn) })
			if open%50 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		started.Wait()
		time.Sleep(settleTime)
		for name, points := range map[string]*[]slope.Point{other: &relaying, admitter: &admitting} {
			p, err := s.Process(name)
			if err != nil {
				return nil, nil, err
			}
			u, err := p.Usage()
			if err != nil {
				return nil, nil, err
			}
			*points = append(*points, slope.Point{Size: float64(n), Value: float64(u.Memory)})
		}
	}
	return relaying, admitting, nil
}
