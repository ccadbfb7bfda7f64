package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example/lugtest/crowdtest"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

const (
	// crowdClients is the size of a crowd: it sends more than the memory of a router.
	crowdClients = 48
	// crowdStay is how long the crowd stays when it has sent what the router reads.
	crowdStay = 2 * time.Second
	// answerTimeout is how long an ordinary caller tries again beside a crowd before the router counts
	// as hanging: longer than an evacuation of all targets, and any fault.
	answerTimeout = 30 * time.Second
)

// crowdKinds are the clients that send most of a body and stop, and those that don't read.
var crowdKinds = []string{
	"one byte short", "one byte short in small pieces", "last chunk short", "short body that stops",
	"pipelined and not read", "response not read",
}

// CrowdRouter lets a crowd of clients that misbehave come to a listener of a router, at some moment
// before the end. Meanwhile an ordinary request has to be answered. It counts as a fault for time
// limits, as the router and the machine are busy.
func (h *Harness) CrowdRouter(random *rand.Rand, length time.Duration) (violations []string) {
	time.Sleep(time.Duration(random.Int64N(int64(length))))
	r := h.randomRouter(random)
	listener := r.listeners()[random.IntN(len(r.listeners()))]
	defer h.tracker.Begin()()
	h.record(fmt.Sprintf("crowd at %s, %s", r.Name, listener.name))
	leave := crowdtest.Crowd{Address: listener.address, Head: listener.head, Kinds: crowdKinds, Clients: crowdClients}.Enter()
	defer leave()
	time.Sleep(crowdStay)
	violations = h.awaitAnswer(r, answerTimeout)
	h.record("crowd leaves " + r.Name)
	return violations
}

// awaitAnswer sends an ordinary request until it is served. It returns a violation if it isn't in
// time.
func (h *Harness) awaitAnswer(r *Router, timeout time.Duration) []string {
	var status int
	var err error
	end := time.Now().Add(timeout)
	for n := 0; time.Now().Before(end); n++ {
		if status, err = SendDirect(r, "/safe/x", fmt.Sprintf("beside-crowd-%d", n)); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return []string{fmt.Sprintf("%s answered no request beside a crowd within %s: status %d, %v", r.Name, timeout, status, err)}
}

// listener is a listener of a router, with the head of the requests that a crowd sends there.
type listener struct{ name, address, head string }

func (r *Router) listeners() []listener {
	return []listener{
		{"entry", r.entry, platformtest.Head(http.MethodPost, "/once/x", "crowd", APIKey)},
		{"ready", r.ready, "POST /readyz HTTP/1.1\r\nHost: r\r\n"},
		{"peers", r.peers, "POST " + peer.BeliefsPathPrefix + "GetBeliefs HTTP/1.1\r\nHost: r\r\nContent-Type: application/protobuf\r\n"},
	}
}
