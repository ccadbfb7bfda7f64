package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = playRepeat }

const (
	// copies is how often the request is sent at one moment: once, and three repeats at once.
	copies = 4
	// againAfter is when it comes again.
	againAfter  = 6 * time.Second
	contactTime = 3 * time.Second // contact_ms
	// backAfter is when a worker that has crashed is back.
	backAfter = 2500 * time.Millisecond
	// allowedRetries is how many retries may reach workers.
	allowedRetries = 3
	crashesToCount = 3
)

// deadly counts what a request that crashes workers does.
type deadly struct {
	mu      sync.Mutex
	crashes int
	thirdAt time.Time
	late    int
	started int
}

// playRepeat: a request that crashes workers is sent several times at one moment, and comes again later.
func playRepeat(f *fleet) (verdict, error) {
	f.work = 60 * time.Millisecond
	if err := f.publish(7, []map[string]any{appService("app")},
		route{Name: "r-book", Prefix: "/book/", Kind: "non_idempotent", Timeout: 1000, Goal: 150, Service: "app", Attempts: 1}); err != nil {
		return verdict{}, err
	}
	var d deadly
	for i := range 8 {
		if err := f.startDeadly(&d, i); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startRouters(6); err != nil {
		return verdict{}, err
	}
	var lost atomic.Int64
	t := f.startTraffic(24, 240*time.Millisecond,
		func() request {
			return request{id: f.newID(), method: "POST", path: "/book/crew", body: "deposit " + f.newID(), deadline: time.Second}
		},
		func(q request, a answer, _ bool) {
			if (a.err != nil || a.status != 200) && len(f.rec.runsOf(q.id)) > 0 {
				lost.Add(1)
				f.rec.logf("lost: sound request %s was run and its client got no answer of the worker: %s", q.id, a)
			}
		})
	time.Sleep(4 * time.Second)
	for range 3 {
		f.sendCopies()
		time.Sleep(againAfter)
	}
	t.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := verdict{what: fmt.Sprintf("%d copies reached workers later than contact_ms after the third crash, %d are allowed; %d crashes, %d sound bookings lost", d.late, allowedRetries, d.crashes, lost.Load())}
	if d.late > allowedRetries {
		v.broken = d.late
	}
	return v, nil
}

// sendCopies sends the request to several machines at one moment.
func (f *fleet) sendCopies() {
	var wg sync.WaitGroup
	for i := range copies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(f.routers[i].entry)
			if err != nil {
				return
			}
			defer c.close()
			q := request{id: f.newID(), method: "POST", path: "/book/crew", body: "deadly deposit", deadline: time.Second}
			f.rec.logf("client sends %s, which crashes workers, to %s", q.id, c.router)
			f.rec.logf("client got for %s: %s", q.id, c.do(q))
		}()
	}
	wg.Wait()
}

// startDeadly starts a worker that crashes on the request, and is back some seconds later as another one.
func (f *fleet) startDeadly(d *deadly, i int) error {
	d.mu.Lock()
	d.started++
	id := fmt.Sprintf("i-app%d", d.started)
	d.mu.Unlock()
	w, err := f.startWorker(id, "app", f.zone(i), f.ip(2, i+1), "v1", 6)
	if err != nil {
		return err
	}
	var once sync.Once
	w.answer = func(w *worker, _ net.Conn, r *http.Request, body []byte, _ int) (bool, bool) {
		if !strings.HasPrefix(string(body), "deadly") {
			return false, true
		}
		d.arrived(f, w, r)
		if !f.trouble {
			return false, true
		}
		once.Do(func() {
			w.exit()
			d.crashed(f, w)
			go func() {
				time.Sleep(backAfter)
				if err := f.startDeadly(d, i); err != nil {
					f.rec.logf("a worker isn't back: %v", err)
				}
			}()
		})
		return true, false
	}
	return nil
}

func (d *deadly) arrived(f *fleet, w *worker, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.thirdAt.IsZero() && time.Since(d.thirdAt) > contactTime {
		d.late++
		f.rec.logf("broken if more than %d: %s reached %s", allowedRetries, r.Header.Get("X-Attempt-Id"), w.id)
	}
}

func (d *deadly) crashed(f *fleet, w *worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes++
	f.rec.logf("worker %s crashes, %d", w.id, d.crashes)
	if d.crashes == crashesToCount {
		d.thirdAt = time.Now()
	}
}
