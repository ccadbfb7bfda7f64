package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// outageTime is how long the store answers nothing (platform_down, silent).
const outageTime = 4500 * time.Millisecond

// upgradeGap is the time between the starts of two workers with the new version.
const upgradeGap = 3500 * time.Millisecond

// restartOrder: the workers of a service start again one after the other, each under its id and
// with a new software version, while the store answers nothing.
func restartOrder(s *scene) (verdict, error) {
	s.store.put("op", "config", newManifest(7, []any{streamRoute("r-1", "/chat/", "modelos", 2)}, []any{plainService("modelos")}))
	addresses := map[string]string{}
	workers := map[string]*process{}
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5"} {
		addresses[id] = freeAddress()
		p, err := s.startWorker(id, "v1", addresses[id], "-service", "modelos")
		if err != nil {
			return verdict{}, err
		}
		workers[id] = p
	}
	if err := s.startRouters(3, 126); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		s.log.printf("store: answers nothing")
		s.store.setDown(true)
		time.AfterFunc(outageTime, func() {
			s.store.setDown(false)
			s.log.printf("store: answers again")
		})
	}
	time.Sleep(200 * time.Millisecond)
	restart := func(id string) error {
		s.log.printf("worker %s starts again under its id, with version v2", id)
		workers[id].kill()
		if _, err := s.startWorker(id, "v2", addresses[id], "-service", "modelos"); err != nil {
			return err
		}
		return awaitWorker(addresses[id])
	}
	if err := restart("m1"); err != nil {
		return verdict{}, err
	}
	next := time.Now().Add(upgradeGap)
	time.Sleep(600 * time.Millisecond)
	var mu sync.Mutex
	mixed, whole, total := 0, 0, 0
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := range 200 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				a := s.sendStream(s.routers[n%len(s.routers)], n)
				versions := a.versions()
				mu.Lock()
				defer mu.Unlock()
				total++
				if a.whole && a.status == 200 {
					whole++
				}
				if len(versions) > 1 {
					mixed++
					s.log.printf("ORDER: attempt %s holds events of both versions: %v", a.attempt, a.events)
				}
			}()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(time.Until(next))
	if err := restart("m2"); err != nil {
		return verdict{}, err
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if whole < total/2 {
		return verdict{}, fmt.Errorf("only %d of %d streams came whole", whole, total)
	}
	return verdict{broken: mixed > 2, text: fmt.Sprintf("%d of %d streams hold events of two software versions, %d came whole", mixed, total, whole)}, nil
}

// sendStream sends the n-th request for a stream; no two are alike.
func (s *scene) sendStream(r *routerProcess, n int) answer {
	header := map[string]string{"Authorization": fmt.Sprintf("Bearer key-%d", n%tenantCount)}
	return s.send(context.Background(), r, "POST", "/chat/x", 15*time.Second, header, fmt.Sprintf("prompt %d", n))
}

// versions returns the software versions of the workers that wrote the events.
func (a answer) versions() map[string]bool {
	out := map[string]bool{}
	for _, e := range a.events {
		f := strings.Fields(e.data)
		out[f[len(f)-1]] = true
	}
	return out
}
