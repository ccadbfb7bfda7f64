package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	takenUpRouters = 4
	// takenUpKilled is the number of routers that are killed: herd_kill, share 0.55 at most.
	takenUpKilled = 2
	// restartAfter is when they start again: herd_kill, for_s = 2.0 at most.
	restartAfter = 1800 * time.Millisecond
	// streamLimit is the time limit of a stream.
	streamLimit = 15 * time.Second
	// minTakenUp is from how many streams on the rule holds.
	minTakenUp = 12
)

// takenUp: half of the routers are killed at once, and clients take their streams up again at the
// others: once, as the sheet gives clients one retry.
func takenUp(s *scene) (verdict, error) {
	s.store.put("op", "config", newManifest(7, []any{streamRoute("r-1", "/chat/", "modelos", 2)}, []any{engineService("modelos")}))
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		if _, err := s.startWorker(id, "v1", freeAddress(), "-service", "modelos", "-prefill-rate", "56.6", "-pieces", "58", "-piece", "40ms"); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startRouters(takenUpRouters, 126); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	var killedAt atomic.Pointer[time.Time]
	alive := func(n int) *routerProcess {
		if killedAt.Load() == nil {
			return s.routers[n%takenUpRouters]
		}
		return s.routers[takenUpKilled+n%(takenUpRouters-takenUpKilled)]
	}
	var mu sync.Mutex
	begun, sent, taken, wentOn := 0, 0, 0, 0
	answers := map[int]int{}
	var clients sync.WaitGroup
	client := func(n int) {
		defer clients.Done()
		header := func() map[string]string {
			return map[string]string{
				"Authorization": fmt.Sprintf("Bearer key-%d", n%tenantCount), "X-Model": "m", "X-Token-Count": "829,290",
				"X-Prefix-Hash": fmt.Sprintf("%x:699,%x:130", 16+n%30, 1000+n),
			}
		}
		body := fmt.Sprintf("prompt %d", n)
		start := time.Now()
		first := s.send(context.Background(), alive(n), "POST", "/chat/x", streamLimit, header(), body)
		mu.Lock()
		sent++
		if first.status == 200 && len(first.events) > 0 {
			begun++
		}
		mu.Unlock()
		if first.whole || len(first.events) == 0 || killedAt.Load() == nil {
			return
		}
		mu.Lock()
		taken++
		mu.Unlock()
		h := header()
		h["Last-Event-Id"], h["Resumes"] = first.events[len(first.events)-1].id, first.attempt
		a := s.send(context.Background(), alive(n), "POST", "/chat/x", streamLimit-time.Since(start), h, body)
		s.log.printf("client: stream %s taken up by %s: status %d, %d events, retry after %.2f s", first.attempt, a.attempt, a.status,
			len(a.events), a.retryAfter)
		mu.Lock()
		defer mu.Unlock()
		if len(a.events) > 0 {
			wentOn++
		}
		answers[a.status]++
	}
	for n := range 450 {
		clients.Add(1)
		go client(n)
		if n == 270 && s.trouble {
			now := time.Now()
			killedAt.Store(&now)
			for _, r := range s.routers[:takenUpKilled] {
				r.kill()
				s.log.printf("%s is killed", r.name)
			}
			time.AfterFunc(restartAfter, func() {
				for _, r := range s.routers[:takenUpKilled] {
					if err := s.startRouter(r); err != nil {
						s.log.printf("%s does not start again: %v", r.name, err)
					}
				}
			})
		}
		time.Sleep(18 * time.Millisecond)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d of %d new streams began; of %d streams taken up again %d went on; answers by status %v", begun, sent, taken, wentOn, answers)
	if s.trouble && taken < minTakenUp {
		return verdict{}, fmt.Errorf("only %d streams were taken up", taken)
	}
	broken := taken >= minTakenUp && float64(wentOn)/float64(taken) < float64(begun)/float64(sent)/2
	return verdict{broken: broken, text: text}, nil
}
