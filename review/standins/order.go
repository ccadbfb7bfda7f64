package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = order }

// stream is one stream of a client, over all its attempts.
type stream struct {
	name     string
	events   []int
	versions map[string]bool
	by       []string
}

// order restarts two engines of eight in place with a new software version, one after the other, while
// the store doesn't answer, and counts the streams with events of both versions.
func order(e *Env) bool {
	const (
		events    = 75
		engines   = 8
		routers   = 12
		every     = 30 * time.Millisecond // a new stream
		outage    = 6 * time.Second
		first     = 500 * time.Millisecond  // after the store has gone silent
		second    = 4000 * time.Millisecond // the same
		downTime  = 300 * time.Millisecond
		trafficOn = 6 * time.Second // before the outage
	)
	zones := []string{"z-a", "z-b", "z-c"}
	e.Store.Put("op", "config", Manifest(1, nil))
	var all []*Worker
	for i := range engines {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-engine%d", i+1), "llm", zones[i%3], "v1", 64)
		w.Step = 80 * time.Millisecond
		w.Start()
		all = append(all, w)
	}
	fleet := NewRouters(e.Rec, e.Dir, routers, zones, func(int) string { return e.Store.address }, Bounds{RetryExtra: 126})
	for _, r := range fleet {
		r.Start()
	}
	AwaitReady(fleet)
	time.Sleep(4 * time.Second) // all have heard of each other

	var wg sync.WaitGroup
	var read []*stream
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(every)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			s := &stream{name: fmt.Sprintf("s%03d", i), versions: map[string]bool{}}
			read = append(read, s)
			wg.Add(1)
			go func() {
				defer wg.Done()
				readStream(e, s, fleet, i, events)
			}()
		}
	}()
	time.Sleep(trafficOn)
	if e.Trouble {
		e.Rec.Add("the store is silent from now on")
		e.Store.SetSilent(true)
		time.AfterFunc(outage, func() {
			e.Store.SetSilent(false)
			e.Rec.Add("the store answers again")
		})
	}
	restart := func(w *Worker) {
		w.SetVersion("v2")
		w.CrashFor(downTime, "restarted in place with software v2")
	}
	time.Sleep(first)
	restart(all[0])
	time.Sleep(second - first)
	restart(all[1])
	time.Sleep(outage - second + time.Second)
	close(stop)
	wg.Wait()

	mixed := 0
	for _, s := range read {
		e.Rec.Add("stream %s: %d events, versions %v, engines %v, in order %t", s.name, len(s.events), keys(s.versions), s.by, inOrder(s.events))
		if len(s.versions) > 1 {
			mixed++
		}
	}
	e.Rec.Add("streams with events of two software versions: %d (the rule allows 2)", mixed)
	fmt.Printf("%d of %d streams hold events of two software versions (the rule allows 2)\n", mixed, len(read))
	return mixed > 2
}

// readStream reads a stream with up to three attempts, as a client does whose channel breaks.
func readStream(e *Env, s *stream, routers []*Router, i, events int) {
	first := ""
	deadline := time.Now().Add(15 * time.Second)
	for attempt := range 3 {
		id := fmt.Sprintf("%s-%d", s.name, attempt)
		q := Request{
			Router: routers[(i+attempt)%len(routers)].Entry, Method: "POST", Path: fmt.Sprintf("/stream/%d/x", events), ID: id, Body: "prompt " + s.name,
			Deadline: time.Until(deadline),
			Header: map[string]string{
				"X-Model": "m", "X-Token-Count": "1460,400", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%x:410,%x:250", 0x91bd3f06+i%6, 0xe4402b00+i),
			},
		}
		if first != "" {
			q.Header["Resumes"] = first
			q.Header["Last-Event-Id"] = fmt.Sprint(s.events[len(s.events)-1])
		}
		q.OnEvent = func(n int, data string) {
			if first == "" {
				first = id
			}
			s.events = append(s.events, n)
			f := strings.Fields(data) // event N by WORKER software VERSION
			s.versions[f[5]] = true
			if len(s.by) == 0 || s.by[len(s.by)-1] != f[3]+"/"+f[5] {
				s.by = append(s.by, f[3]+"/"+f[5])
			}
		}
		e.Rec.Add("send %s to %s Last-Event-Id=%q", id, q.Router, q.Header["Last-Event-Id"])
		a := Send(q)
		e.Rec.Add("answer %s: %v, %d events so far", id, a, len(s.events))
		if a.Status == 200 && a.Err == nil || time.Until(deadline) < time.Second {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func keys(m map[string]bool) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	return out
}

func inOrder(events []int) bool {
	for i, n := range events {
		if n != i+1 {
			return false
		}
	}
	return true
}
