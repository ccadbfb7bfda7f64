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
	requestCount = 20000
	// concurrency is how many requests are in flight at once.
	concurrency = 8
	streamCount = 200
	// streamStep is how many streams are opened before each measurement.
	streamStep    = 250
	streamSteps   = 4
	settleTime    = time.Second
	callTimeout   = 10 * time.Second
	streamTimeout = 2 * time.Minute
)

// Costs are the costs of one router.
type Costs struct {
	// RequestCPU is the processor time of a short request, in microseconds.
	RequestCPU float64
	// EventCPU is the processor time of a streamed event, in microseconds.
	EventCPU float64
	// StreamMemory is the resident memory in bytes by the number of open streams.
	StreamMemory []slope.Point
}

// Measure starts a router and measures it. The router's files go to dir.
func Measure(router, dir string) (Costs, error) {
	s, err := newTestFleet(router, dir, 1)
	if err != nil {
		return Costs{}, err
	}
	defer s.close()
	var c Costs
	if c.RequestCPU, err = s.requestCPU(); err != nil {
		return c, err
	}
	if c.EventCPU, err = s.eventCPU(); err != nil {
		return c, err
	}
	c.StreamMemory, err = s.streamMemory()
	return c, err
}

// requestCPU returns the processor time of a short request, in microseconds.
func (s *testFleet) requestCPU() (float64, error) {
	return s.cpuPerCall(requestCount, concurrency, func(client *http.Client, i int) error {
		return s.get(client, "/safe/x", "request-"+strconv.Itoa(i))
	})
}

// eventCPU returns the processor time of a streamed event, in microseconds.
func (s *testFleet) eventCPU() (float64, error) {
	s.engine.SetDefault(platformtest.LongStream)
	us, err := s.cpuPerCall(streamCount, concurrency, func(client *http.Client, i int) error {
		return s.get(client, "/stream/x", "stream-"+strconv.Itoa(i))
	})
	return us / platformtest.LongEvents, err
}

// cpuPerCall runs n calls, some of them concurrently, and returns the router's
// mean processor time of a call, in microseconds.
func (s *testFleet) cpuPerCall(n, concurrent int, call func(*http.Client, int) error) (float64, error) {
	before, err := s.usage(0)
	if err != nil {
		return 0, err
	}
	errs := make([]error, concurrent)
	var group sync.WaitGroup
	for w := range concurrent {
		group.Go(func() {
			client := &http.Client{Timeout: callTimeout}
			defer client.CloseIdleConnections()
			for i := w; i < n && errs[w] == nil; i += concurrent {
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

func (s *testFleet) get(client *http.Client, path, id string) error {
	w, err := s.send(client, path, id)
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

func (s *testFleet) send(client *http.Client, path, id string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.routers[0].Entry()+path, nil)
	if err != nil {
		return nil, err
	}
	platformtest.SetCallerHeaders(r, id, apiKey, streamTimeout)
	return client.Do(r)
}

// streamMemory opens streams that stay open and reads the resident memory after
// each step.
func (s *testFleet) streamMemory() ([]slope.Point, error) {
	s.engine.SetDefault(platformtest.OpenStream)
	client := &http.Client{}
	var out []slope.Point
	for step := range streamSteps {
		for i := range streamStep {
			w, err := s.send(client, "/stream/x", fmt.Sprintf("open-%d-%d", step, i))
			if err != nil {
				return nil, err
			}
			defer func() { _ = w.Body.Close() }()
			if w.StatusCode != http.StatusOK {
				return nil, fmt.Errorf("streamMemory: status %d after %d streams", w.StatusCode, step*streamStep+i)
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

// usage reads what router i has used so far.
func (s *testFleet) usage(i int) (stage.Usage, error) {
	pid, ok := s.routers[i].PID()
	if !ok {
		return stage.Usage{}, fmt.Errorf("usage: router %s is not running", s.routers[i].Name)
	}
	return stage.ReadUsage(pid)
}
