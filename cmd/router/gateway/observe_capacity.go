package gateway

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
)

// capacityWatch is what one attempt observes of its target's speed.
type capacityWatch struct {
	// upstream is nil if the attempt doesn't count, such as that of a request that a peer
	// relayed.
	upstream *upstream
	// before is the load of the target without the request.
	before fitting.Load
	pace   capacity.Pace
}

// capacityKey returns the key of the target's estimate.
func (s *targetState) capacityKey() capacity.TargetKey { return capacity.TargetKey(s.key) }

// watchCapacity begins to observe an attempt.
func (t *transaction) watchCapacity(u *upstream) {
	t.capacity = capacityWatch{}
	if t.relayedBy != "" {
		return
	}
	t.capacity.upstream = u
	t.capacity.before = t.g.loadOf(u.key)
}

// loadOf returns the load of a target from all routers.
func (g *Gateway) loadOf(key fitting.Key) fitting.Load {
	return g.loads.Loads([]fitting.Key{key}, g.peers.aliveSince())[0]
}

func (t *transaction) observeCapacity(o capacity.Observation, now time.Time) {
	t.g.capacity.Observe(t.capacity.upstream.capacityKey(), o, now)
}

// observeHead records what the response to the request states of the target's load.
func (t *transaction) observeHead(r platform.Response) {
	if t.capacity.upstream == nil {
		return
	}
	if load, ok := r.Load(); ok && load.SlownessPercent > 0 {
		t.observeCapacity(capacity.Stated{Percent: load.SlownessPercent}, t.g.clock.Now())
	}
}

// observeEvents records events that the target wrote.
func (t *transaction) observeEvents(events []byte) {
	u := t.capacity.upstream
	if u == nil {
		return
	}
	if !wellFormed(events) {
		t.capacity.pace.Break()
		return
	}
	now := t.g.clock.Now()
	pause, first := t.capacity.pace.Read(bytes.Count(events, eventEnd), now)
	if first {
		t.observeFirstEvent(now)
	}
	if pause > 0 {
		t.observeCapacity(capacity.Pause{Each: pause, Batch: t.g.loadOf(u.key).Requests()}, now)
	}
}

// wellFormed reports whether each line of events has a field or is a comment.
func wellFormed(events []byte) bool {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		if len(line) > 0 && bytes.IndexByte(line, ':') < 0 {
			return false
		}
		events = rest
	}
	return true
}

// observeFirstEvent records the time to the first event, unless the request may have waited for a
// slot, or part of the prompt was copied.
func (t *transaction) observeFirstEvent(now time.Time) {
	if t.copyFrom != "" || t.mayHaveWaited() {
		return
	}
	tokens := t.capacity.before.PrefillTokens() + t.tokensToRead()
	t.observeCapacity(capacity.FirstEvent{Tokens: tokens, Took: now.Sub(t.sentAt)}, now)
}

// tokensToRead returns the prompt tokens that the target had to read for the request.
func (t *transaction) tokensToRead() int {
	tokens := t.req.Work().PromptTokens()
	if t.wasCached {
		tokens -= t.req.Work().ReusableTokens()
	}
	return max(tokens, 0)
}

// mayHaveWaited reports whether all slots of the target were taken when the request was sent.
func (t *transaction) mayHaveWaited() bool {
	slots := t.capacity.upstream.target.Slots()
	if s, ok := t.table.Service(t.service); ok && s.Engine() != nil {
		slots = s.Engine().Slots()
	}
	return t.capacity.before.Requests() >= slots
}

// observeWritten records that the caller has taken the events.
func (t *transaction) observeWritten() {
	if t.capacity.upstream != nil {
		t.capacity.pace.Written(t.g.clock.Now())
	}
}

// observeServed records the service time of a plain request whose response is complete.
func (t *transaction) observeServed(status int) {
	if t.capacity.upstream == nil || t.route.Kind() == plan.Streaming || status < http.StatusOK || status >= http.StatusMultipleChoices {
		return
	}
	if t.mayHaveWaited() {
		return
	}
	now := t.g.clock.Now()
	t.observeCapacity(capacity.Served{Took: now.Sub(t.sentAt)}, now)
}

// observeRefusal records that the target had no room for the request. One that names a limit may
// have refused for that.
func (t *transaction) observeRefusal(status int) {
	u := t.capacity.upstream
	if u == nil || status != http.StatusServiceUnavailable || t.g.limits.Limit(u.limitKey()).NeedsPermit() {
		return
	}
	t.observeCapacity(capacity.Refused{Beside: t.capacity.before.Requests()}, t.g.clock.Now())
}

// setCapacityTargets sets the targets of which estimates are kept.
func (g *Gateway) setCapacityTargets(usable *upstreamSet) {
	keys := make(map[string][]capacity.TargetKey, len(usable.byService))
	for service, upstreams := range usable.byService {
		g.registerSlowness(service)
		g.registerPrefillTime(service)
		for _, u := range upstreams {
			keys[service] = append(keys[service], u.capacityKey())
		}
	}
	g.capacity.SetTargets(keys)
}

// maxLoggedSlowness is how many targets are logged at a time as slow or normal again.
const maxLoggedSlowness = 20

// reportSlowTargets logs which targets have become slow or normal again.
func (g *Gateway) reportSlowTargets(now time.Time) {
	changes := g.capacity.Changes(now)
	if len(changes) == 0 {
		return
	}
	targets := map[capacity.TargetKey]*upstream{}
	for _, u := range g.upstreams.Load().byIncarnation {
		targets[u.capacityKey()] = u
	}
	logged := 0
	for _, c := range changes {
		u, ok := targets[c.Target]
		if !ok {
			continue
		}
		if logged++; logged > maxLoggedSlowness {
			break
		}
		message := "target is as fast as usual again"
		if c.Slow {
			message = "target is slow"
		}
		g.log.Info(message, "target", u.target.Incarnation(), "service", u.target.Service(),
			"slowness", c.Slowness, "age", c.Age.String(), "observations", c.Weight)
	}
	if more := len(changes) - logged; more > 0 {
		g.log.Info("more targets became slow or normal", "targets", more)
	}
}

// registerSlowness makes the metrics have the slowness of the slowest target of a service.
func (g *Gateway) registerSlowness(service string) {
	meter.Gauge("target_slowness{service="+strconv.Quote(service)+"}", func() float64 {
		return g.capacity.Slowest(service, g.clock.Now())
	})
}

// observationsTime returns the time of the observations that a datagram has: those since the peers
// that get it got one before. A change is sent to every peer several times in a row, which would
// repeat the same observations.
func (p *peers) observationsTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.cycle(), now.Sub(p.sentToAll))
}

func observationsToProto(reports []capacity.Report) []*peer.TargetObservation {
	out := make([]*peer.TargetObservation, len(reports))
	for i, r := range reports {
		out[i] = &peer.TargetObservation{
			Target: uint64(r.Target), AgoMs: uint32(r.Age.Milliseconds()), Count: uint32(r.Count), SlownessPercent: uint32(r.SlownessPercent),
			PrefillRate: float32(r.PrefillRate), StepMs: float32(r.Pause), Batch: uint32(r.Batch), ServiceMs: float32(r.Served),
		}
	}
	return out
}

func observationsFromProto(observations []*peer.TargetObservation) []capacity.Report {
	out := make([]capacity.Report, len(observations))
	for i, o := range observations {
		out[i] = capacity.Report{
			Target: capacity.TargetKey(o.Target), Age: time.Duration(o.AgoMs) * time.Millisecond, Count: int(o.Count),
			SlownessPercent: int(o.SlownessPercent), PrefillRate: float64(o.PrefillRate), Pause: float64(o.StepMs),
			Batch: int(o.Batch), Served: float64(o.ServiceMs),
		}
	}
	return out
}
