package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// traffic is a crowd of clients with kept channels.
type traffic struct {
	f       *fleet
	pause   time.Duration
	next    func() request
	got     func(q request, a answer, kept bool)
	stopped chan struct{}
	wg      sync.WaitGroup
}

// startTraffic starts clients that send requests with a pause in between, each over a channel that it keeps.
func (f *fleet) startTraffic(clients int, pause time.Duration, next func() request, got func(q request, a answer, kept bool)) *traffic {
	t := &traffic{f: f, pause: pause, next: next, got: got, stopped: make(chan struct{})}
	for i := range clients {
		t.wg.Add(1)
		go t.client(i)
	}
	return t
}

func (t *traffic) stop() {
	close(t.stopped)
	t.wg.Wait()
}

func (t *traffic) client(i int) {
	defer t.wg.Done()
	var c *channel
	for {
		select {
		case <-t.stopped:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(t.pause/2 + time.Duration(rand.Int64N(int64(t.pause)))):
		}
		if c == nil {
			var err error
			if c, err = dial(t.f.routers[i%len(t.f.routers)].entry); err != nil {
				i++
				continue
			}
		}
		q := t.next()
		t.f.rec.logf("client sends %s %s %s to %s", q.id, q.method, q.path, c.router)
		a := c.do(q)
		t.f.rec.logf("client got for %s: %s, proof %q", q.id, a, a.header.Get("X-Response-Seal"))
		t.got(q, a, c.used > 1)
		if a.err != nil || a.closes {
			c.close()
			c = nil
			i++
		}
	}
}
