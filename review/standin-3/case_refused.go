package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// refused: workers run bookings and answer some of them with a long 503 of their own.
func refused(s *scene) (verdict, error) {
	s.store.put("op", "config", newManifest(7,
		[]any{plainRoute("r-1", "/book/", "non_idempotent", "agenda", 1)}, []any{plainService("agenda")}))
	for n := range 3 {
		args := []string{"-service", "agenda", "-slots", "6"}
		if n == 0 && s.trouble {
			// One worker of three which fails a third of its requests (srv_grey: share 1.0, x 0.45, for_s 4.0 at most).
			args = append(args, "-fail-every", "3", "-fail-bytes", "1200000")
		}
		if _, err := s.startWorker(fmt.Sprintf("b%d", n+1), "v1", freeAddress(), args...); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startRouters(3, 126); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	ran := map[string]string{}
	s.mu.Lock()
	s.onRun = func(text string) {
		f := strings.Fields(text) // ran ID VERSION born N ADDRESS attempt ID ...
		mu.Lock()
		defer mu.Unlock()
		if f[0] == "ran" {
			ran[f[7]] = f[1]
		}
	}
	s.mu.Unlock()
	var clients sync.WaitGroup
	var answers []answer
	twice := 0
	for n := range 150 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := s.routers[n%len(s.routers)]
			a := s.send(context.Background(), r, "POST", "/book/x", time.Second, nil, fmt.Sprintf("booking %d", n))
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
			if a.status != 503 {
				return
			}
			// The promise lets the client send it again.
			again := s.send(context.Background(), r, "POST", "/book/x", time.Second, nil, fmt.Sprintf("booking %d", n))
			time.Sleep(500 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if ran[a.attempt] != "" && ran[again.attempt] != "" {
				twice++
				s.log.printf("booking %d was made by %s as attempt %s and by %s as attempt %s", n, ran[a.attempt], a.attempt, ran[again.attempt], again.attempt)
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	ends := map[int]int{}
	for _, a := range answers {
		ends[a.status]++
		if (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && ran[a.attempt] != "" {
			broken++
			s.log.printf("REFUSED: attempt %s was answered %d and has run at %s", a.attempt, a.status, ran[a.attempt])
		}
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf("%d of %d bookings were answered 503 and have run; %d were made twice, as their clients sent them again; answers %v",
		broken, len(answers), twice, ends)}, nil
}
