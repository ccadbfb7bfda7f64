package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["brittle"] = brittle }

// brittle crashes one worker once, in a time in which the workers of its service say that they are
// brittle, and counts how often workers fall over.
func brittle(e *Env) bool {
	const (
		workers     = 8
		maxRejected = 2
		crashTime   = 2 * time.Second
		brittleTime = 30 * time.Second
		allowed     = 2 + 0.1*workers
	)
	e.Store.Put("op", "config", Manifest(1, nil))
	var statedAt atomic.Int64 // Unix milliseconds; 0 while the workers aren't brittle
	state := func() Brittle {
		at := statedAt.Load()
		return Brittle{
			MaxRejected: maxRejected, Stated: at != 0,
			InForce: at != 0 && time.Since(time.UnixMilli(at)) > contact,
		}
	}
	var falls atomic.Int32
	var all []*Worker
	for i := range workers {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-app%d", i+1), "app", []string{"z-a", "z-b", "z-c"}[i%3], "v1", 6)
		w.Step = 150 * time.Millisecond
		w.Brittle = state
		w.OnFall = func() { falls.Add(1) }
		w.Start()
		all = append(all, w)
	}
	f := NewFleet(e, Bounds{RetryExtra: 126})
	traffic := StartTraffic(e, f, 3200*time.Microsecond, booking)
	time.Sleep(2 * time.Second)
	statedAt.Store(time.Now().UnixMilli())
	e.Rec.Add("the workers say that they are brittle: Server-Brittle: %d", maxRejected)
	time.Sleep(contact + 2*time.Second)
	if e.Trouble {
		all[2].CrashFor(crashTime, "crashed, for another reason")
	}
	time.Sleep(brittleTime - contact - 2*time.Second)
	statedAt.Store(0)
	e.Rec.Add("the workers are no longer brittle")
	time.Sleep(time.Second)
	answers := map[string]int{}
	for _, s := range traffic.Stop() {
		answers[s.Answer.String()]++
	}
	fmt.Printf("workers fell over %d times (the rule allows %.1f); bookings: %d answered 200, %d answered 502 after they had been sent to a worker\n",
		falls.Load(), allowed, answers["200"], answers["502"])
	return float64(falls.Load()) > allowed
}
