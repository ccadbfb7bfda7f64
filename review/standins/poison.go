package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["repeat"] = repeat
	cases["part"] = func(e *Env) bool { return part(e) }
	cases["herd"] = herd
}

const (
	contact  = 3 * time.Second
	backTime = 3 * time.Second
)

// crashes has when workers crashed.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// nth returns when the nth crash was, or the zero time.
func (c *crashes) nth(n int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return time.Time{}
	}
	return c.at[n-1]
}

// repeat sends a non-idempotent request that crashes the workers that run it. It comes again
// twice, six copies at a time.
func repeat(e *Env) bool {
	const copies = 6
	e.Store.Put("op", "config", Manifest(1, nil))
	c := &crashes{}
	var workers []*Worker
	for i := range 9 {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-app%d", i+1), "app", []string{"z-a", "z-b", "z-c"}[i%3], "v1", 6)
		w.Step = 30 * time.Millisecond
		w.Before = func(w *Worker, r *http.Request, body string) bool {
			if !e.Trouble || body != "deadly" {
				return true
			}
			w.crashOn(r, backTime, c.add)
			return false
		}
		w.Start()
		workers = append(workers, w)
	}
	f := NewFleet(e, Bounds{RetryExtra: 126})
	traffic := StartTraffic(e, f, 20*time.Millisecond, booking)
	time.Sleep(2 * time.Second)
	deadly := func(id string) Request {
		return Request{Method: "POST", Path: "/book/deadly", ID: id, Body: "deadly", Deadline: time.Second}
	}
	for round := range 3 {
		SendAtOnce(e, f, fmt.Sprintf("deadly%d", round), copies, deadly)
		time.Sleep(contact + backTime)
	}
	all := traffic.Stop()
	third := c.nth(3)
	late := e.Rec.Runs(func(x run) bool {
		return x.Path == "/book/deadly" && !third.IsZero() && x.At.After(third.Add(contact))
	})
	lost := 0
	for _, s := range all {
		if s.Answer.Err != nil || s.Answer.Status == 502 || s.Answer.Status == 504 {
			lost++
		}
	}
	for _, x := range late {
		e.Rec.Add("%s reached %s %.3f s after the third crash", x.ID, x.Worker, x.At.Sub(third).Seconds())
	}
	fmt.Printf("the request reached workers %d times later than %v after it had crashed the third (the rule allows 3); %d of %d sound bookings lost their answer\n",
		len(late), contact, lost, len(all))
	return e.Trouble && len(late) > 3
}

const deadlyPart = "91bd3f06"

// deadlyEngines starts engines that crash on a part of a prompt, after they have written some of
// the answer.
func deadlyEngines(e *Env, n int, deadly bool, c *crashes, write func(w http.ResponseWriter, r *http.Request)) {
	for i := range n {
		w := NewWorker(e.Store, e.Rec, fmt.Sprintf("i-engine%d", i+1), "llm", []string{"z-a", "z-b", "z-c"}[i%3], "v1", 64)
		w.Step = 30 * time.Millisecond
		if deadly {
			w.Deadly = func(r *http.Request) bool { return strings.Contains(r.Header.Get("X-Prefix-Hash"), deadlyPart+":") }
			w.WriteBeforeCrash = write
			w.OnCrash = c.add
		}
		w.Start()
	}
}

func headOnly(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

func soundChat(n int) Request {
	return chat(fmt.Sprintf("c%05d", n), 8, fmt.Sprintf("5c1e07a2:800,%x:410,%x:250", 0x7700+n%6, 0xa0000+n))
}

func deadlyChat(id string) Request {
	own := uint64(0)
	for _, b := range []byte(id) {
		own = own*131 + uint64(b)
	}
	return chat(id, 8, fmt.Sprintf("%s:800,%x:410,%x:250", deadlyPart, 0x7700+own%6, own))
}

// part sends requests with a part of a prompt on which engines crash once they have begun to write
// the answer: in the middle of its second event.
func part(e *Env) bool {
	e.Store.Put("op", "config", Manifest(1, nil))
	c := &crashes{}
	deadlyEngines(e, 9, e.Trouble, c, func(w http.ResponseWriter, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\nid: %d\nda", last+1, last+1, last+2)
		_ = http.NewResponseController(w).Flush()
	})
	f := NewFleet(e, Bounds{RetryExtra: 126})
	traffic := StartTraffic(e, f, 25*time.Millisecond, soundChat)
	time.Sleep(2 * time.Second)
	for i := range 50 {
		SendAtOnce(e, f, fmt.Sprintf("deadly%02d", i), 1, deadlyChat)
		time.Sleep(280 * time.Millisecond)
	}
	all := traffic.Stop()
	return judgePart(e, c, all)
}

// judgePart counts the requests with the part that reached engines later than the contact time
// after the fifth crash, and sound streams that were broken.
func judgePart(e *Env, c *crashes, all []sent) bool {
	fifth := c.nth(5)
	late := e.Rec.Runs(func(x run) bool {
		return strings.HasPrefix(x.ID, "deadly") && !fifth.IsZero() && x.At.After(fifth.Add(contact))
	})
	lost := 0
	for _, s := range all {
		if s.Answer.Err != nil || s.Answer.Status != 200 {
			lost++
		}
	}
	begunBefore, before, begunAfter, after := 0, 0, 0, 0
	for _, s := range all {
		begun := 0
		if s.Answer.Status == http.StatusOK {
			begun = 1
		}
		switch first := c.nth(1); {
		case first.IsZero() || s.At.Before(first):
			before++
			begunBefore += begun
		case !fifth.IsZero() && s.At.After(fifth.Add(2*contact)):
			after++
			begunAfter += begun
		}
	}
	e.Rec.Add("sound streams that began at the first attempt: %d of %d before the first crash, %d of %d from %v after the fifth",
		begunBefore, before, begunAfter, after, 2*contact)
	for _, x := range late {
		e.Rec.Add("%s reached %s %.3f s after the fifth crash", x.ID, x.Worker, x.At.Sub(fifth).Seconds())
	}
	fmt.Printf("%d crashes; requests with the part reached engines %d times later than %v after the fifth crash (the rule allows 3); %d of %d sound streams were not whole; begun: %d of %d before the first crash, %d of %d from %v after the fifth\n",
		len(c.at), len(late), contact, lost, len(all), begunBefore, before, begunAfter, after, 2*contact)
	return len(late) > 3
}

// herd kills all routers at once after they have found the part that crashes engines.
func herd(e *Env) bool {
	e.Store.Put("op", "config", Manifest(1, nil))
	c := &crashes{}
	deadlyEngines(e, 9, true, c, headOnly)
	f := NewFleet(e, Bounds{RetryExtra: 126})
	traffic := StartTraffic(e, f, 25*time.Millisecond, soundChat)
	time.Sleep(2 * time.Second)
	SendAtOnce(e, f, "deadly0", 6, deadlyChat)
	time.Sleep(contact + backTime)
	SendAtOnce(e, f, "deadly1", 6, deadlyChat)
	time.Sleep(time.Second)
	if e.Trouble {
		for _, r := range f.Routers {
			r.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, r := range f.Routers {
			r.Start()
		}
		AwaitReady(f.Routers)
	}
	time.Sleep(contact + time.Second)
	SendAtOnce(e, f, "deadly2", 6, deadlyChat)
	time.Sleep(time.Second)
	return judgePart(e, c, traffic.Stop())
}
