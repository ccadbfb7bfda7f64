package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["drain"] = drain }

// drain lets a worker leave that says so in its answers and has removed its entry. A heartbeat of
// it that the store had not answered is performed some seconds later.
func drain(e *Env) bool {
	const (
		drainTime = 2 * time.Second
		late      = 3500 * time.Millisecond
		beats     = 3
		// exitAfterBeat is how long after the late heartbeat the worker exits.
		exitAfterBeat = 150 * time.Millisecond
	)
	e.Store.Put("op", "config", Manifest(1, nil))
	zones := []string{"z-a", "z-b", "z-c"}
	var leaving atomic.Bool
	var workers []*Worker
	for i := range 4 {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-app%d", i+1), "app", zones[i%3], "v1", 6)
		w.Step = 120 * time.Millisecond
		w.Start()
		workers = append(workers, w)
	}
	w := workers[1]
	w.Headers = func() map[string]string {
		if leaving.Load() {
			return map[string]string{"Server-Leaving": "1", "Connection": "close"}
		}
		return nil
	}
	f := NewFleet(e, Bounds{RetryExtra: 126})
	traffic := StartTraffic(e, f, 10*time.Millisecond, booking)
	time.Sleep(3 * time.Second)

	beat := w.Entry()
	if e.Trouble {
		e.Rec.Add("a heartbeat of %s gets no answer from the store; it will be performed in %v", w.ID, late)
		time.AfterFunc(late, func() {
			e.Store.Put("servers", w.ID, beat)
			e.Rec.Add("the store performs the heartbeat of %s", w.ID)
		})
		time.AfterFunc(late+beats*beatInterval, func() {
			e.Store.Delete("servers", w.ID)
			e.Rec.Add("the entry of %s lapses", w.ID)
		})
	} else {
		e.Store.Put("servers", w.ID, beat)
	}
	time.Sleep(100 * time.Millisecond)
	leaving.Store(true)
	e.Rec.Add("%s leaves: it says so in its answers", w.ID)
	time.Sleep(500 * time.Millisecond)
	w.StopBeats(true)
	e.Rec.Add("the entry of %s is removed", w.ID)
	time.Sleep(late - 600*time.Millisecond + exitAfterBeat)
	w.Crash("it has left")
	time.Sleep(5 * time.Second)

	passedOn := map[int]time.Time{}
	all := traffic.Stop()
	sentAt := map[string]sent{}
	cut := 0
	for _, s := range all {
		sentAt[s.ID] = s
		if s.Answer.Header.Get("Server-Leaving") != "" && (passedOn[s.Router].IsZero() || s.Ended.Before(passedOn[s.Router])) {
			passedOn[s.Router] = s.Ended
		}
	}
	for router, at := range passedOn {
		e.Rec.Add("%s passed on an answer with Server-Leaving at %.3f", f.Routers[router].Name, at.Sub(e.Rec.began).Seconds())
	}
	broken := 0
	for _, x := range e.Rec.Runs(func(x run) bool { return x.Worker == w.ID }) {
		s := sentAt[x.ID]
		at, ok := passedOn[s.Router]
		if ok && s.At.After(at.Add(drainTime)) {
			broken++
			e.Rec.Add("request %s, sent at %.3f, reached %s from %s; answer %v", x.ID, s.At.Sub(e.Rec.began).Seconds(), w.ID, f.Routers[s.Router].Name, s.Answer)
			if s.Answer.Status != 200 {
				cut++
			}
		}
	}
	fmt.Printf("%d requests reached the worker that leaves more than %v after its router had passed that on; %d of them lost\n", broken, drainTime, cut)
	return broken > 0
}
