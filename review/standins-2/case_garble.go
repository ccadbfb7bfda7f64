package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = playGarble }

const (
	// garbleShare is the part of the servers that hand out wrong bytes, and garbleRate of their answers.
	garbleShare = 0.5
	garbleRate  = 0.02
	garbleTime  = 5 * time.Second
	garblePause = 2 * time.Second
	garbleTimes = 6
	// closeRate is the part of the answers after which a server closes the channel.
	closeRate = 0.1
)

// page is what another program on a server's machine may say: it has neither the id of the attempt nor
// the proof, so it is no answer of the server.
const page = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 24\r\n\r\n<html>It works!</html>\r\n"

// noise is no HTTP at all.
const noise = "\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03garbage\r\n\r\n"

// playGarble: servers hand out bytes that are no answers of theirs.
func playGarble(f *fleet) (verdict, error) {
	if err := f.publish(7, []map[string]any{appService("app")},
		route{Name: "r-book", Prefix: "/book/", Kind: "non_idempotent", Timeout: 1000, Goal: 150, Service: "app", Attempts: 1}); err != nil {
		return verdict{}, err
	}
	const servers = 6
	var garbles atomic.Bool
	for i := range servers {
		w, err := f.startWorker("i-app"+string(rune('1'+i)), "app", f.zone(i), f.ip(2, i+1), "v1", 6)
		if err != nil {
			return verdict{}, err
		}
		w.head = func() string {
			if rand.Float64() < closeRate {
				return "Connection: close\r\n"
			}
			return ""
		}
		if i >= garbleShare*servers {
			continue
		}
		w.answer = func(w *worker, c net.Conn, r *http.Request, _ []byte, _ int) (bool, bool) {
			if !garbles.Load() || rand.Float64() >= garbleRate {
				return false, true
			}
			id, bytes := r.Header.Get("X-Attempt-Id"), page
			if rand.IntN(2) == 0 {
				bytes = noise
			}
			f.rec.ran(w, id)
			time.Sleep(f.work)
			f.rec.logf("worker %s sends wrong bytes in place of its answer to %s: %q", w.id, id, bytes)
			_, _ = io.WriteString(c, bytes)
			return true, false
		}
	}
	if err := f.startRouters(4); err != nil {
		return verdict{}, err
	}
	var false200 atomic.Int64
	t := f.startTraffic(48, 150*time.Millisecond,
		func() request {
			return request{id: f.newID(), method: "POST", path: "/book/crew", body: "deposit", deadline: time.Second}
		},
		func(q request, a answer, _ bool) {
			if a.err == nil && a.status/100 == 2 && f.rec.sealedFor(a.header.Get("X-Response-Seal")) != q.id {
				false200.Add(1)
				f.rec.logf("broken: %s got a success without a proof, body %q", q.id, a.body)
			}
		})
	time.Sleep(garblePause)
	for range garbleTimes {
		garbles.Store(f.trouble)
		time.Sleep(garbleTime)
		garbles.Store(false)
		time.Sleep(garblePause)
	}
	t.stop()
	return verdict{broken: int(false200.Load()), what: "successes without the proof of the server"}, nil
}
