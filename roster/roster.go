package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"vanillalug.example/schedule"
)

// Roster is the membership view of one router. It is safe for concurrent use.
type Roster struct {
	mu       sync.Mutex
	clock    schedule.Clock
	opts     options
	self     Member
	peers    map[string]*Member
	round    []string
	queue    updateQueue
	lastTick time.Time
	ticks    uint64
	fresh    bool
}

// New returns the roster of the router self, without peers.
func New(clock schedule.Clock, self Member, opts ...Option) *Roster {
	o := options{suspicion: SuspicionTimeout, pauseThreshold: PauseThreshold, intN: rand.IntN}
	for _, opt := range opts {
		opt(&o)
	}
	self.since = clock.Now()
	r := &Roster{clock: clock, opts: o, self: self, peers: map[string]*Member{}, fresh: true}
	r.queue.add(self.name)
	return r
}

// Handle processes an event and returns the effects to perform.
func (r *Roster) Handle(ev Event) []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	switch e := ev.(type) {
	case Tick:
		return r.tick(now)
	case UpdatesReceived:
		return r.applyUpdates(now, e)
	case ProbeSucceeded:
		return r.probeSucceeded(now, e.Name)
	case ProbeFailed:
		return r.probeFailed(now, e.Name)
	case IndirectProbeFailed:
		return r.suspect(now, e.Name)
	case ListReceived:
		return r.applyList(now, e.Members)
	case Leave:
		return r.leave(now, Leaving)
	case Left:
		return r.leave(now, Gone)
	}
	return nil
}

// Self returns this router's own member.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Fresh reports whether the membership view is current: this router has received a
// message from a peer since its last pause, or has no peers. While it is stale, the
// router admits no requests from peers.
func (r *Roster) Fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh && !r.tickOverdue(r.clock.Now())
}

// tickOverdue reports whether the time since the last tick counts as a pause. Fresh
// calls it, since no tick may have run after the pause yet.
func (r *Roster) tickOverdue(now time.Time) bool {
	return !r.lastTick.IsZero() && now.Sub(r.lastTick) > r.opts.pauseThreshold
}

// Members returns this router and all peers that are not gone, sorted by name.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{r.self}
	for _, m := range r.peers {
		if m.state != Gone {
			out = append(out, *m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Peer returns the peer with the name, also one that is gone.
func (r *Roster) Peer(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.peers[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Updates returns the member updates to send with the next message to a peer. For
// a peer that is not alive they contain its state, so that it can refute it.
func (r *Roster) Updates(to string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{r.self}
	if m, ok := r.peers[to]; ok && m.state != Alive {
		out = append(out, *m)
	}
	for _, name := range r.queue.take(updatesPerMessage-1, r.transmitLimit(), r.isUrgent) {
		if m, ok := r.peers[name]; ok {
			out = append(out, *m)
		}
	}
	return out
}

// isUrgent reports whether a member is suspected, leaving or gone.
func (r *Roster) isUrgent(name string) bool {
	m, ok := r.peers[name]
	return ok && m.state != Alive
}

func (r *Roster) tick(now time.Time) []Effect {
	var out []Effect
	if gap := now.Sub(r.lastTick); r.tickOverdue(now) {
		out = append(out, r.handlePause(now, gap)...)
	}
	r.lastTick = now
	out = append(out, r.expire(now)...)
	out = append(out, r.probeSuspects()...)
	r.ticks++
	m, ok := r.nextToProbe()
	if next, found := r.successor(); found && r.ticks%2 == 0 {
		m = next
	}
	if !ok {
		r.fresh = true
		return out
	}
	return append(out, Probe{Member: m})
}

func (r *Roster) expire(now time.Time) []Effect {
	var out []Effect
	for name, m := range r.peers {
		expired := !m.deadline.IsZero() && !now.Before(m.deadline)
		switch {
		case m.state == Gone && now.Sub(m.since) > goneRetention:
			delete(r.peers, name)
		case expired && (m.state == Suspect || m.unresponsive):
			out = append(out, r.replace(now, m, m.WithState(Gone)))
		}
	}
	slices.SortFunc(out, func(a, b Effect) int {
		return cmp.Compare(a.(StateChanged).Member.name, b.(StateChanged).Member.name)
	})
	return out
}

func (r *Roster) applyUpdates(now time.Time, e UpdatesReceived) []Effect {
	r.fresh = true
	var out []Effect
	for _, u := range e.Updates {
		out = append(out, r.apply(now, u)...)
	}
	return out
}

func (r *Roster) apply(now time.Time, u Member) []Effect {
	if u.name == r.self.name {
		r.refute(u)
		return nil
	}
	m, ok := r.peers[u.name]
	if !ok {
		return r.add(now, u)
	}
	if !u.Supersedes(*m) {
		return nil
	}
	return []Effect{r.replace(now, m, u)}
}

// refute overrides an outdated update about this router with a higher
// incarnation.
func (r *Roster) refute(u Member) {
	if u.Supersedes(r.self) {
		r.self.incarnation = u.incarnation + 1
	}
	r.queue.add(r.self.name)
}

func (r *Roster) add(now time.Time, u Member) []Effect {
	m := u
	m.since = now
	m.unresponsive = false
	m.suspectedHere = false
	m.deadline = time.Time{}
	r.peers[u.name] = &m
	if u.incarnation > 0 {
		// Incarnation 0 is from the platform's list, which every router reads itself.
		r.queue.add(u.name)
	}
	if u.state == Suspect {
		m.deadline = now.Add(r.opts.suspicion)
	}
	r.insertIntoRound(u.name)
	return []Effect{StateChanged{Member: m, From: Gone}}
}

// replace replaces the state of a member and queues the update for gossip.
func (r *Roster) replace(now time.Time, m *Member, u Member) Effect {
	from := m.state
	address, place := m.address, m.place
	*m = u
	if m.address == "" {
		m.address, m.place = address, place
	}
	m.since = now
	m.unresponsive = false
	m.suspectedHere = false
	m.deadline = time.Time{}
	if m.state == Suspect {
		m.deadline = now.Add(r.opts.suspicion)
	}
	r.queue.add(m.name)
	return StateChanged{Member: *m, From: from}
}

func (r *Roster) probeSucceeded(_ time.Time, name string) []Effect {
	r.fresh = true
	if m, ok := r.peers[name]; ok {
		m.unresponsive = false
	}
	return nil
}

// applyList adds unknown routers from the platform's list. The list may be stale,
// so it doesn't change the state of a known member, except to leaving. One member
// that is gone but still listed is probed, so that regions find each other again
// after a network partition.
func (r *Roster) applyList(now time.Time, members []Member) []Effect {
	var out []Effect
	var gone []Member
	for _, l := range members {
		if l.name == r.self.name {
			continue
		}
		m, ok := r.peers[l.name]
		switch {
		case !ok && l.state == Alive:
			l.incarnation = 0
			out = append(out, r.add(now, l)...)
		case ok && l.state == Leaving && m.state < Leaving:
			out = append(out, r.replace(now, m, m.WithState(Leaving)))
		case ok && l.state == Alive && m.state == Gone:
			gone = append(gone, *m)
		}
	}
	if len(gone) > 0 {
		out = append(out, Probe{Member: gone[r.opts.intN(len(gone))]})
	}
	return out
}

func (r *Roster) leave(now time.Time, to State) []Effect {
	if r.self.state >= to {
		return nil
	}
	from := r.self.state
	r.self.state = to
	r.self.since = now
	r.queue.add(r.self.name)
	return []Effect{StateChanged{Member: r.self, From: from}}
}

// transmitLimit returns how often one update is sent: a multiple of log2 n.
func (r *Roster) transmitLimit() int {
	bits := 1
	for n := len(r.peers) + 1; n > 1; n /= 2 {
		bits++
	}
	return retransmitFactor * bits
}
