package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["denied"] = denied }

// denied cuts one router off all workers, so that it relays its requests, and kills another one, which
// starts again. It counts the proper requests that are answered 403. It isn't among the five cases.
func denied(e *Env) bool {
	const allowed = 10
	e.Store.Put("op", "config", Manifest(1, nil))
	var workers []*Worker
	for i := range 4 {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-app%d", i+1), "app", []string{"z-a", "z-b", "z-c"}[i%3], "v1", 24)
		w.Step = 20 * time.Millisecond
		w.BeatOnce = true
		w.Start()
		workers = append(workers, w)
	}
	var views []*view
	for range 3 {
		views = append(views, newView(e.Store, workers))
	}
	f := &Fleet{Zones: []string{"z-a", "z-b", "z-c"}}
	f.Routers = NewRouters(e.Rec, e.Dir, 3, f.Zones, func(i int) string { return views[i].address }, Bounds{RetryExtra: 126})
	for _, r := range f.Routers {
		r.Start()
	}
	AwaitReady(f.Routers)
	time.Sleep(4 * time.Second)
	traffic := StartTraffic(e, f, 3*time.Millisecond, booking)
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if e.Trouble {
		e.Rec.Add("%s is cut off all workers", f.Routers[0].Name)
		views[0].cut()
	}
	time.Sleep(4 * time.Second)
	if e.Trouble {
		f.Routers[2].Kill()
		time.Sleep(300 * time.Millisecond)
		f.Routers[2].Start()
	}
	time.Sleep(5 * time.Second)
	healAt := time.Now()
	if e.Trouble {
		views[0].heal()
	}
	time.Sleep(time.Second)
	forbidden := 0
	served, all := [3]int{}, [3]int{}
	for _, s := range traffic.Stop() {
		if s.Answer.Status == http.StatusForbidden {
			forbidden++
		}
		if s.At.After(cutAt.Add(contact)) && s.At.Before(healAt) {
			all[s.Router]++
			if s.Answer.Status == http.StatusOK {
				served[s.Router]++
			}
		}
	}
	fmt.Printf("%d proper requests were answered 403 (the rule allows %d); served from %v after the cut: %v of %v, the first router is the one that is cut off\n",
		forbidden, allowed, contact, served, all)
	return forbidden > allowed
}
