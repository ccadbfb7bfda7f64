package main

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = playVersion }

var (
	softwareOf = regexp.MustCompile(`software (\S+)`)
	eventID    = regexp.MustCompile(`(?m)^id: (\d+)$`)
)

// stream is what a client has of one stream, over all its tries.
type stream struct {
	first    string // the attempt that brought the first event
	lastID   string
	versions []string
}

// take adds the whole events of an answer.
func (s *stream) take(q request, body string) {
	body = body[:strings.LastIndex(body, "\n\n")+1]
	for _, m := range softwareOf.FindAllStringSubmatch(body, -1) {
		if !slices.Contains(s.versions, m[1]) {
			s.versions = append(s.versions, m[1])
		}
	}
	if ids := eventID.FindAllStringSubmatch(body, -1); len(ids) > 0 {
		s.lastID = ids[len(ids)-1][1]
		if s.first == "" {
			s.first = q.id
		}
	}
}

// playVersion: the servers are upgraded in place, one after the other, while the store is out.
func playVersion(f *fleet) (verdict, error) {
	if err := f.publish(7, []map[string]any{appService("llm")},
		route{Name: "r-draft", Prefix: "/stream/", Kind: "streaming", Timeout: 15000, Goal: 1000, Service: "llm", Attempts: 2, Resumable: true}); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		if _, err := f.startWorker(fmt.Sprintf("i-llm%d", i+1), "llm", f.zone(i), f.ip(2, i+1), 64); err != nil {
			return verdict{}, err
		}
	}
	if err := f.startRouters(12); err != nil {
		return verdict{}, err
	}
	var mixed, streams atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.streamClient(i, stop, func(s *stream) {
				streams.Add(1)
				if len(s.versions) > 1 {
					mixed.Add(1)
					f.rec.logf("stream %s holds events of software %v", s.first, s.versions)
				}
			})
		}()
	}
	time.Sleep(5 * time.Second)
	if f.trouble {
		f.store.setDown(true)
		f.rec.logf("store: out")
	}
	outSince := time.Now()
	for i, at := range []time.Duration{300 * time.Millisecond, 3800 * time.Millisecond, 7300 * time.Millisecond} {
		time.Sleep(time.Until(outSince.Add(at)))
		if err := f.upgrade(f.workers[i]); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(outSince.Add(8000 * time.Millisecond)))
	if f.trouble {
		f.store.setDown(false)
		f.rec.logf("store: back")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	v := verdict{what: fmt.Sprintf("%d of %d streams hold events of two software versions", mixed.Load(), streams.Load())}
	if mixed.Load() > 2 {
		v.broken = int(mixed.Load())
	}
	return v, nil
}

// upgrade restarts a server under its id and address with the next version of its software.
func (f *fleet) upgrade(w *worker) error {
	w.exit()
	time.Sleep(300 * time.Millisecond)
	next, err := f.startWorkerAt(w.address, w.id, w.service, w.zone, "v2", w.slots)
	if err != nil {
		return err
	}
	f.rec.logf("worker %s starts again with software %s", next.id, next.version)
	return nil
}

// streamClient asks for streams one after the other, and takes each up again that breaks off.
func (f *fleet) streamClient(i int, stop chan struct{}, ended func(*stream)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
		}
		s := &stream{}
		for try := range 3 {
			c, err := dial(f.routers[(i+try)%len(f.routers)].entry)
			if err != nil {
				continue
			}
			q := request{
				id: f.newID(), method: "POST", path: "/stream/80", body: "prompt", deadline: 10 * time.Second,
				lastEvent: s.lastID, resumes: s.first,
			}
			f.rec.logf("client sends %s POST %s to %s, after event %q of %q", q.id, q.path, c.router, s.lastID, s.first)
			a := c.do(q)
			c.close()
			f.rec.logf("client got for %s: %s", q.id, a)
			if a.status == 200 {
				s.take(q, string(a.body))
			}
			if a.status == 200 && a.err == nil {
				break
			}
		}
		ended(s)
	}
}
