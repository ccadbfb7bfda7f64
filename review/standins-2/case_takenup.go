package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = playTakenUp }

const (
	// downTime is how long the routers are down.
	downTime = 500 * time.Millisecond
	// minTakenUp is from how many streams on LOST judges.
	minTakenUp = 12
	// timeLimit is how long a client waits for its stream, over both attempts.
	timeLimit = 15 * time.Second
	// eventGap is the time between two events of a stream.
	eventGap = 25 * time.Millisecond
)

var (
	eventID    = regexp.MustCompile(`(?m)^id: (\d+)$`)
	softwareOf = regexp.MustCompile(`(?m)^data: software (\S+)`)
)

// takenUp counts streams: new ones and those of them that begin, and those that clients take up again and
// that go on.
type takenUp struct {
	f  *fleet
	mu sync.Mutex
	// inTouch is from when on the routers are in touch again; zero while they aren't.
	inTouch                 time.Time
	channels                map[*channel]bool
	new, begun, again, goOn int
	// path is that of the requests, with the number of events at its end.
	path string
	// mixed counts the streams that hold events of two software versions.
	mixed int
}

// playTakenUp: all routers are killed while two software versions serve, three times at random moments.
// Clients take the streams that broke off up again as soon as the routers are in touch.
func playTakenUp(f *fleet) (verdict, error) {
	if err := f.publish(7, []map[string]any{appService("llm")},
		route{Name: "r-draft", Prefix: "/draft/", Kind: "streaming", Timeout: 15000, Goal: 1000, Service: "llm", Attempts: 2, Resumable: true}); err != nil {
		return verdict{}, err
	}
	for i := range 9 {
		w, err := f.startWorker(fmt.Sprintf("i-llm%d", i+1), "llm", f.zone(i), f.ip(2, i+1), fmt.Sprintf("v%d", i%2+1), 64)
		if err != nil {
			return verdict{}, err
		}
		w.answer = stream
	}
	if err := f.startRouters(6); err != nil {
		return verdict{}, err
	}
	n := &takenUp{f: f, path: "/draft/10", inTouch: time.Now(), channels: map[*channel]bool{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.client(stop)
		}()
	}
	for range 3 {
		time.Sleep(6*time.Second + time.Duration(rand.Int64N(int64(time.Second))))
		if err := n.strike(); err != nil {
			return verdict{}, err
		}
		n.waitInTouch()
		f.rec.logf("all routers are in touch")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	newShare := float64(n.begun) / float64(max(n.new, 1))
	goOnShare := float64(n.goOn) / float64(max(n.again, 1))
	v := verdict{what: fmt.Sprintf("of %d streams that clients took up again, %d went on; of %d new ones, %d began", n.again, n.goOn, n.new, n.begun)}
	if n.again >= minTakenUp && goOnShare < newShare/2 {
		v.broken = n.again - n.goOn
	}
	return v, nil
}

// strike kills all routers, which start again. Without the disruption, the clients' channels end.
func (n *takenUp) strike() error {
	f := n.f
	if !f.trouble {
		n.setInTouch(time.Time{})
		n.closeChannels()
		n.setInTouch(time.Now().Add(contactTime))
		return nil
	}
	n.setInTouch(time.Time{})
	f.rec.logf("all routers are killed")
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		<-r.exited
	}
	time.Sleep(downTime)
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return err
	}
	f.rec.logf("all routers are ready")
	n.setInTouch(time.Now().Add(contactTime + 200*time.Millisecond))
	return nil
}

func (n *takenUp) setInTouch(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inTouch = at
}

func (n *takenUp) closeChannels() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.channels {
		c.close()
	}
}

// waitInTouch waits until the routers are in touch.
func (n *takenUp) waitInTouch() {
	for {
		n.mu.Lock()
		ready := !n.inTouch.IsZero() && time.Now().After(n.inTouch)
		n.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// client asks for streams one after the other, and takes each up again once if it breaks off after an event.
func (n *takenUp) client(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(500)) * time.Millisecond):
		}
		n.waitInTouch()
		body := fmt.Sprintf("prompt %d", rand.Uint64())
		begin := time.Now()
		var versions []string
		first, events, whole := n.ask(request{id: n.f.newID(), body: body, deadline: timeLimit}, 0, &versions)
		n.mu.Lock()
		n.new++
		if events > 0 {
			n.begun++
		}
		n.mu.Unlock()
		if whole || events == 0 {
			continue
		}
		time.Sleep(50 * time.Millisecond)
		n.waitInTouch()
		_, more, _ := n.ask(request{id: n.f.newID(), body: body, lastEvent: strconv.Itoa(events), resumes: first, deadline: timeLimit - time.Since(begin)}, events, &versions)
		n.mu.Lock()
		n.again++
		if more > events {
			n.goOn++
		}
		if len(versions) > 1 {
			n.mixed++
			n.f.rec.logf("stream %s holds events of software %v", first, versions)
		}
		n.mu.Unlock()
	}
}

// ask sends a request for a stream, of which the client has some events. It returns how many it has then.
func (n *takenUp) ask(q request, has int, versions *[]string) (id string, events int, whole bool) {
	c, err := dial(n.f.routers[rand.IntN(len(n.f.routers))].entry)
	if err != nil {
		return q.id, has, false
	}
	n.mu.Lock()
	n.channels[c] = true
	n.mu.Unlock()
	q.method, q.path = http.MethodPost, n.path
	n.f.rec.logf("client sends %s POST %s to %s, after event %q of %q", q.id, q.path, c.router, q.lastEvent, q.resumes)
	a := c.do(q)
	n.mu.Lock()
	delete(n.channels, c)
	n.mu.Unlock()
	c.close()
	n.f.rec.logf("client got for %s: %s", q.id, a)
	if a.status != http.StatusOK {
		return q.id, has, false
	}
	for _, m := range eventID.FindAllStringSubmatch(string(a.body), -1) {
		if at, err := strconv.Atoi(m[1]); err == nil {
			has = max(has, at)
		}
	}
	for _, m := range softwareOf.FindAllStringSubmatch(string(a.body), -1) {
		if !slices.Contains(*versions, m[1]) {
			*versions = append(*versions, m[1])
		}
	}
	return q.id, has, a.err == nil
}

// stream answers with numbered events, from the one after that which the client has.
func stream(w *worker, c net.Conn, r *http.Request, _ []byte, _ int) (handled, keep bool) {
	id, lines := r.Header.Get("X-Attempt-Id"), ""
	if w.head != nil {
		lines = w.head()
	}
	w.f.rec.ran(w, id)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	total, _ := strconv.Atoi(path.Base(r.URL.Path))
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\nX-Attempt-Id: " +
		id + "\r\nX-Response-Seal: " + w.f.rec.seal(w, id) + "\r\n" + lines + "\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return true, false
	}
	for i := from + 1; i <= total; i++ {
		time.Sleep(eventGap)
		event := fmt.Sprintf("id: %d\ndata: software %s %s\n\n", i, w.version, strings.Repeat("words ", 8))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return true, false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return true, err == nil
}
