package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["7"] = playCanary }

const (
	canaryTries = 3
	// canaryClients ask for about 54 streams a second, as all clients of the site's engines do.
	canaryClients = 116
	// forgetTime is how long the routers remember a version that has gone, at least.
	forgetTime = 31 * time.Second
	// canaryTime is how long a canary has served when the routers are killed, and rollbackTime how much later
	// it is taken back.
	canaryTime   = 400 * time.Millisecond
	rollbackTime = 300 * time.Millisecond
	// canaryDown is how long the routers are down.
	canaryDown = 2 * time.Second
	// allowedMixed is how many streams may hold events of two software versions.
	allowedMixed = 2
)

// playCanary: all routers are killed shortly after a server with a new software version has joined, which is
// taken back before they are there again.
func playCanary(f *fleet) (verdict, error) {
	if err := f.publish(7, []map[string]any{appService("llm")},
		route{Name: "r-draft", Prefix: "/draft/", Kind: "streaming", Timeout: 15000, Goal: 1000, Service: "llm", Attempts: 2, Resumable: true}); err != nil {
		return verdict{}, err
	}
	for i := range 4 {
		w, err := f.startWorker(fmt.Sprintf("i-llm%d", i+1), "llm", f.zone(i), f.ip(2, i+1), "v1", 64)
		if err != nil {
			return verdict{}, err
		}
		w.answer = stream
	}
	if err := f.startRouters(6); err != nil {
		return verdict{}, err
	}
	n := &takenUp{f: f, path: "/draft/76", inTouch: time.Now(), channels: map[*channel]bool{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range canaryClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.client(stop)
		}()
	}
	for i := range canaryTries {
		wait := 6 * time.Second
		if i > 0 {
			wait = forgetTime
		}
		time.Sleep(wait + time.Duration(rand.Int64N(int64(time.Second))))
		if err := n.canary(i); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	v := verdict{what: fmt.Sprintf("%d of %d streams that were taken up again hold events of two software versions", n.mixed, n.again)}
	if n.mixed > allowedMixed {
		v.broken = n.mixed
	}
	return v, nil
}

func (n *takenUp) canary(i int) error {
	f := n.f
	w, err := f.startWorker(fmt.Sprintf("i-canary%d", i+1), "llm", f.zone(i), f.ip(2, 11+i), fmt.Sprintf("v2.%d", i), 64)
	if err != nil {
		return err
	}
	var leaving atomic.Bool
	w.head = func() string {
		if leaving.Load() {
			return "Server-Leaving: 1\r\n"
		}
		return ""
	}
	w.answer = stream
	f.rec.logf("a server with new software joins")
	time.Sleep(canaryTime)
	n.setInTouch(time.Time{})
	if f.trouble {
		f.rec.logf("all routers are killed")
		for _, r := range f.routers {
			r.signal(syscall.SIGKILL)
		}
	} else {
		n.closeChannels()
	}
	time.Sleep(rollbackTime)
	w.silent.Store(true)
	leaving.Store(true)
	f.store.put("servers", w.id, nil)
	f.rec.logf("the server with new software is taken back")
	time.Sleep(canaryDown - rollbackTime)
	if f.trouble {
		for _, r := range f.routers {
			<-r.exited
			if err := r.start(); err != nil {
				return err
			}
		}
		if err := f.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	n.setInTouch(time.Now())
	time.Sleep(time.Second)
	w.exit()
	return nil
}
