package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/cmd/measure/slope"
	"vanillalug.example/platform/platformtest"
)

const (
	requests = 20000
	// callers is how many requests are under way at once.
	callers     = 8
	longStreams = 200
	// streamStep is how many streams are opened between two measurements.
	streamStep  = 250
	streamSteps = 4
	settleTime  = time.Second
	callWait    = 10 * time.Second
	streamWait  = 2 * time.Minute
)

// Costs are what one router spends.
type Costs struct {
	// RequestCPU is the processor time of a short request, in microseconds.
	RequestCPU float64
	// EventCPU is that of an event of a stream, in microseconds.
	EventCPU float64
	// StreamMemory is the resident memory in bytes by the number of open streams.
	StreamMemory []slope.Point
}

// Measure starts a router and measures it; files go to the folder.
func Measure(router, dir string) (Costs, error) {
	s, err := newStage(router, dir, 1)
	if err != nil {
		return Costs{}, err
	}
	defer s.end()
	var c Costs
	if c.RequestCPU, err = s.perRequest(); err != nil {
		return c, err
	}
	if c.EventCPU, err = s.perEvent(); err != nil {
		return c, err
	}
	c.StreamMemory, err = s.openStreams()
	return c, err
}

// perRequest is the processor time of a short request, in microseconds.
func (s *measured) perRequest() (float64, error) {
	return s.spent(requests, callers, func(client *http.Client, i int) error {
		return s.get(client, "/safe/x", "request-"+strconv.Itoa(i))
	})
}

// perEvent is the processor time of an event, in microseconds.
func (s *measured) perEvent() (float64, error) {
	s.engine.SetDefault(platformtest.LongStream)
	us, err := s.spent(longStreams, callers, func(client *http.Client, i int) error {
		return s.get(client, "/stream/x", "stream-"+strconv.Itoa(i))
	})
	return us / platformtest.LongEvents, err
}

// spent runs a number of calls, some at once, and returns the router's
// processor time for each, in microseconds.
func (s *measured) spent(n, atOnce int, call func(*http.Client, int) error) (float64, error) {
	before, err := s.usage(0)
	if err != nil {
		return 0, err
	}
	errs := make([]error, atOnce)
	var group sync.WaitGroup
	for w := range atOnce {
		group.Go(func() {
			client := &http.Client{Timeout: callWait}
			defer client.CloseIdleConnections()
			for i := w; i < n && errs[w] == nil; i += atOnce {
				errs[w] = call(client, i)
			}
		})
	}
	group.Wait()
	after, err := s.usage(0)
	if err := errors.Join(append(errs, err)...); err != nil {
		return 0, err
	}
	return float64((after.CPU - before.CPU).Microseconds()) / float64(n), nil
}

func (s *measured) get(client *http.Client, path, id string) error {
	w, err := s.ask(client, path, id)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	if w.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", id, w.StatusCode)
	}
	return nil
}

func (s *measured) ask(client *http.Client, path, id string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.routers[0].Entry()+path, nil)
	if err != nil {
		return nil, err
	}
	platformtest.SetCallerHeaders(r, id, key, streamWait)
	return client.Do(r)
}

// openStreams opens streams that stay open and reads the memory in between.
func (s *measured) openStreams() ([]slope.Point, error) {
	s.engine.SetDefault(platformtest.OpenStream)
	client := &http.Client{}
	var out []slope.Point
	for step := range streamSteps {
		for i := range streamStep {
			w, err := s.ask(client, "/stream/x", fmt.Sprintf("open-%d-%d", step, i))
			if err != nil {
				return nil, err
			}
			defer func() { _ = w.Body.Close() }()
			if w.StatusCode != http.StatusOK {
				return nil, fmt.Errorf("openStreams: status %d after %d streams", w.StatusCode, step*streamStep+i)
			}
		}
		time.Sleep(settleTime)
		u, err := s.usage(0)
		if err != nil {
			return nil, err
		}
		out = append(out, slope.Point{Size: float64((step + 1) * streamStep), Value: float64(u.Memory)})
	}
	return out, nil
}

// usage reads what a router has used so far.
func (s *measured) usage(i int) (stage.Usage, error) {
	pid, ok := s.routers[i].PID()
	if !ok {
		return stage.Usage{}, fmt.Errorf("%s does not run", s.routers[i].Name)
	}
	return stage.ReadUsage(pid)
}
