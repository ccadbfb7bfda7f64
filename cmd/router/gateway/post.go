package gateway

import (
	"sync"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

const (
	// failuresToSuspect is the number of failures in a row that make a target
	// suspect.
	failuresToSuspect = 2
	// connectWeight is that of a target that takes no connection.
	connectWeight  = failuresToSuspect
	answerWeight   = 1
	suspectTime    = time.Second
	maxSuspectTime = 8 * time.Second
)

// post is what this router has for one lifetime of a target.
type post struct {
	target crew.Target
	key    fitting.Key
	pool   *channel.Pool

	mu       sync.Mutex
	failures int
	until    time.Time
}

func newPost(t crew.Target) *post {
	return &post{target: t, key: fitting.KeyOf(t.Incarnation()), pool: channel.NewPool(t.Address())}
}

// suspect reports whether the target failed lately.
func (p *post) suspect(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until)
}

// succeeded forgets the failures.
func (p *post) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.until = time.Time{}
}

// failed counts a failure by its weight. It returns until when the target is suspect where
// it becomes so now, or the zero time.
func (p *post) failed(now time.Time, weight int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures += weight
	if p.failures < failuresToSuspect {
		return time.Time{}
	}
	before := now.Before(p.until)
	p.until = now.Add(min(suspectTime<<min(p.failures-failuresToSuspect, 4), maxSuspectTime))
	if before {
		return time.Time{}
	}
	return p.until
}

// targets are the posts of all usable targets; they never change.
type targets struct {
	byService  map[string][]*post
	byLifetime map[string]*post
}
