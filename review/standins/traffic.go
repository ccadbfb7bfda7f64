package main

import (
	"fmt"
	"sync"
	"time"
)

// Fleet is a small deployment: three routers in three zones, and workers.
type Fleet struct {
	Zones   []string
	Routers []*Router
}

// NewFleet starts routers for the store, and waits until they are ready and know each other.
func NewFleet(e *Env, b Bounds) *Fleet {
	f := &Fleet{Zones: []string{"z-a", "z-b", "z-c"}}
	f.Routers = NewRouters(e.Rec, e.Dir, 3, f.Zones, func(int) string { return e.Store.address }, b)
	for _, r := range f.Routers {
		r.Start()
	}
	AwaitReady(f.Routers)
	time.Sleep(4 * time.Second)
	return f
}

// sent is one sound request with its answer.
type sent struct {
	At     time.Time
	Ended  time.Time
	Router int
	ID     string
	Answer Answer
}

// Traffic sends sound requests at a steady rate, to the routers in turn, until stopped.
type Traffic struct {
	mu   sync.Mutex
	sent []sent
	stop chan struct{}
	wg   sync.WaitGroup
}

// StartTraffic sends what request returns, every interval.
func StartTraffic(e *Env, f *Fleet, every time.Duration, request func(n int) Request) *Traffic {
	t := &Traffic{stop: make(chan struct{})}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			q := request(n)
			router := n % len(f.Routers)
			q.Router = f.Routers[router].Entry
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				at := time.Now()
				e.Rec.Add("send %s to %s %s %s", q.ID, f.Routers[router].Name, q.Method, q.Path)
				a := Send(q)
				e.Rec.Add("answer %s: %v", q.ID, a)
				t.mu.Lock()
				t.sent = append(t.sent, sent{At: at, Ended: time.Now(), Router: router, ID: q.ID, Answer: a})
				t.mu.Unlock()
			}()
		}
	}()
	return t
}

// Stop ends the traffic and waits for the answers.
func (t *Traffic) Stop() []sent {
	close(t.stop)
	t.wg.Wait()
	return t.sent
}

// Sent returns what was answered so far.
func (t *Traffic) Sent() []sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]sent{}, t.sent...)
}

// booking is a sound request of the non-idempotent route.
func booking(n int) Request {
	return Request{Method: "POST", Path: fmt.Sprintf("/book/%d", n), ID: fmt.Sprintf("b%05d", n), Body: fmt.Sprintf("booking %d", n), Deadline: time.Second}
}

// chat returns a request for a stream of some events.
func chat(id string, events int, parts string) Request {
	return Request{
		Method: "POST", Path: fmt.Sprintf("/stream/%d/x", events), ID: id, Body: "prompt of " + id, Deadline: 10 * time.Second,
		Header:  map[string]string{"X-Model": "m", "X-Token-Count": "1460,80", "X-Prefix-Hash": parts},
		OnEvent: func(int, string) {},
	}
}

// SendAtOnce sends copies of a request with ids of their own, spread over the routers.
func SendAtOnce(e *Env, f *Fleet, name string, copies int, request func(id string) Request) {
	var wg sync.WaitGroup
	for i := range copies {
		q := request(fmt.Sprintf("%s-%d", name, i))
		r := f.Routers[i%len(f.Routers)]
		q.Router = r.Entry
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.Rec.Add("send %s to %s %s %s", q.ID, r.Name, q.Method, q.Path)
			a := Send(q)
			e.Rec.Add("answer %s: %v %s", q.ID, a, firstLine(a.Body))
		}()
	}
	wg.Wait()
}

func firstLine(s string) string {
	for i, c := range s {
		if c == '\n' {
			return s[:i]
		}
	}
	return s
}
