package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The limits of the pages that the cases of late entries use.
const (
	drainTime   = 2 * time.Second         // drain_ms
	contactTime = 3 * time.Second         // contact_ms
	lateTime    = 5700 * time.Millisecond // platform_lost, late: 1 to 6 s
)

// lateDrain: a worker's entry is performed late, after the worker has started again under
// its id and then reported that it is draining.
func lateDrain(s *scene) (verdict, error) {
	s.store.put("op", "config", newManifest(7,
		[]any{plainRoute("r-1", "/book/", "non_idempotent", "agenda", 1)}, []any{plainService("agenda")}))
	addresses := map[string]string{}
	workers := map[string]*process{}
	args := []string{"-service", "agenda", "-slots", "6", "-work", "100ms"}
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6", "b7"} {
		addresses[id] = freeAddress()
		p, err := s.startWorker(id, "v1", addresses[id], args...)
		if err != nil {
			return verdict{}, err
		}
		workers[id] = p
	}
	if err := s.startRouters(3, 126); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	var acked time.Time // when the store had accepted the report of draining
	late := map[string]bool{}
	// sentTo has the router of an attempt, and told when a router first passed on an answer in
	// which the worker stated that it is leaving; bound are the requests that came after that.
	sentTo, told, bound := map[string]string{}, map[string]time.Time{}, map[string]bool{}
	total := 0
	s.mu.Lock()
	s.onRun = func(text string) {
		f := strings.Fields(text) // ran ID VERSION born N ADDRESS attempt ID ...
		mu.Lock()
		defer mu.Unlock()
		if f[0] != "ran" || f[1] != "b1" || acked.IsZero() || len(f) < 8 {
			return
		}
		if at, ok := sent[f[7]]; ok && at.After(acked.Add(drainTime)) {
			late[f[7]] = true
		}
		if at, ok := told[sentTo[f[7]]]; ok && sent[f[7]].After(at.Add(drainTime)) {
			bound[f[7]] = true
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	ends := map[string]int{}
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ctx.Err() == nil; n++ {
			clients.Add(1)
			go func() {
				defer clients.Done()
				r := s.routers[n%len(s.routers)]
				a := s.sendNoted(ctx, r, "POST", "/book/x", time.Second, nil, "a booking", func(attempt string, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					sent[attempt], sentTo[attempt] = at, r.name
					total++
				})
				mu.Lock()
				ends[fmt.Sprint(a.status)]++
				if _, known := told[r.name]; !known && a.leaving {
					told[r.name] = time.Now()
					s.log.printf("client: %s has passed on that b1 is leaving", r.name)
				}
				mu.Unlock()
			}()
			time.Sleep(7 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	lost := make(chan struct{})
	if s.trouble {
		var once sync.Once
		s.store.mu.Lock()
		s.store.lose = func(id string, _ map[string]any) (time.Duration, bool) {
			hit := false
			if id == "b1" {
				once.Do(func() { hit = true; close(lost) })
			}
			return lateTime, hit
		}
		s.store.mu.Unlock()
	} else {
		close(lost)
	}
	<-lost
	start := time.Now()
	s.store.mu.Lock()
	s.store.afterBeat = func(id string, entry map[string]any) {
		if id == "b1" && entry["state"] == "draining" {
			mu.Lock()
			defer mu.Unlock()
			if acked.IsZero() {
				acked = time.Now()
				s.log.printf("store: has accepted that b1 is draining")
			}
		}
	}
	s.store.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	s.log.printf("worker b1 crashes and starts again under its id")
	workers["b1"].kill()
	p, err := s.startWorker("b1", "v1", addresses["b1"], append(args, "-linger", "5s")...)
	if err != nil {
		return verdict{}, err
	}
	// The store has been without disturbance for contact_ms.
	time.Sleep(time.Until(start.Add(contactTime + 300*time.Millisecond)))
	p.signal(syscall.SIGTERM)
	time.Sleep(5 * time.Second)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if acked.IsZero() {
		return verdict{}, fmt.Errorf("the worker has not reported that it is draining")
	}
	for attempt := range late {
		s.log.printf("DRAIN: attempt %s to %s was sent %v after the ack and reached b1", attempt, sentTo[attempt], sent[attempt].Sub(acked))
	}
	for attempt := range bound {
		s.log.printf("DRAIN: attempt %s was sent %v after %s had passed on that b1 is leaving and reached b1", attempt,
			sent[attempt].Sub(told[sentTo[attempt]]), sentTo[attempt])
	}
	return verdict{broken: len(late)+len(bound) > 0, text: fmt.Sprintf("sent later than drain_ms and run by the draining worker: "+
		"%d of %d requests after the ack, %d after the same router had passed on Server-Leaving (%d routers had); answers %v",
		len(late), total, len(bound), len(told), ends)}, nil
}

// sendNoted is send, with a function that is told of the attempt before it is sent.
func (s *scene) sendNoted(
	ctx context.Context, r *routerProcess, method, path string, timeout time.Duration, header map[string]string, body string,
	note func(attempt string, at time.Time),
) answer {
	attempt := s.nextAttempt()
	note(attempt, time.Now())
	return s.sendAs(ctx, attempt, r, method, path, timeout, header, body)
}
