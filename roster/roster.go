package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"vanillalug.example/schedule"
)

// Roster is the membership as one router believes it. It is safe for
// concurrent use.
type Roster struct {
	mu       sync.Mutex
	clock    schedule.Clock
	opts     options
	self     Member
	peers    map[string]*Member
	round    []string
	news     newsQueue
	lastTick time.Time
	ticks    uint64
	certain  bool
}

// New returns the roster of the router self, which knows nobody yet.
func New(clock schedule.Clock, self Member, opts ...Option) *Roster {
	o := options{suspicion: SuspicionTimeout, pauseLimit: PauseThreshold, pick: rand.IntN}
	for _, opt := range opts {
		opt(&o)
	}
	self.since = clock.Now()
	r := &Roster{clock: clock, opts: o, self: self, peers: map[string]*Member{}, certain: true}
	r.news.add(self.name)
	return r
}

// Handle takes an event and returns the effects to carry out.
func (r *Roster) Handle(ev Event) []Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	switch e := ev.(type) {
	case Tick:
		return r.tick(now)
	case UpdatesReceived:
		return r.heard(now, e)
	case ProbeSucceeded:
		return r.answered(now, e.Name)
	case ProbeFailed:
		return r.unanswered(now, e.Name)
	case IndirectProbeFailed:
		return r.suspect(now, e.Name)
	case ListReceived:
		return r.listed(now, e.Members)
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

// Fresh reports whether this router has exchanged messages with a peer
// since it last paused. While it is not, it admits nothing for the fleet.
func (r *Roster) Fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.certain && !r.overdue(r.clock.Now())
}

// overdue reports a pause that no tick has noticed yet.
func (r *Roster) overdue(now time.Time) bool {
	return !r.lastTick.IsZero() && now.Sub(r.lastTick) > r.opts.pauseLimit
}

// Members returns this router and all peers that are not gone, by name.
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

// Peer returns what is believed of a peer.
func (r *Roster) Peer(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.peers[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Updates returns the statements to send with the next message to a peer. A
// peer that is not believed alive is told so, that it can refute.
func (r *Roster) Updates(to string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{r.self}
	if m, ok := r.peers[to]; ok && m.state != Alive {
		out = append(out, *m)
	}
	for _, name := range r.news.take(updatesPerMessage-1, r.retransmits(), r.isUrgent) {
		if m, ok := r.peers[name]; ok {
			out = append(out, *m)
		}
	}
	return out
}

// isUrgent reports whether a member is in trouble or leaves.
func (r *Roster) isUrgent(name string) bool {
	m, ok := r.peers[name]
	return ok && m.state != Alive
}

func (r *Roster) tick(now time.Time) []Effect {
	var out []Effect
	if gap := now.Sub(r.lastTick); r.overdue(now) {
		out = append(out, r.paused(now, gap)...)
	}
	r.lastTick = now
	out = append(out, r.expire(now)...)
	out = append(out, r.askSuspects()...)
	r.ticks++
	m, ok := r.nextToProbe()
	if next, found := r.successor(); found && r.ticks%2 == 0 {
		m = next
	}
	if !ok {
		r.certain = true
		return out
	}
	return append(out, Probe{Member: m})
}

func (r *Roster) expire(now time.Time) []Effect {
	var out []Effect
	for name, m := range r.peers {
		overdue := !m.deadline.IsZero() && !now.Before(m.deadline)
		switch {
		case m.state == Gone && now.Sub(m.since) > goneRetention:
			delete(r.peers, name)
		case overdue && (m.state == Suspect || m.doubtful):
			out = append(out, r.set(now, m, m.WithState(Gone)))
		}
	}
	slices.SortFunc(out, func(a, b Effect) int {
		return cmp.Compare(a.(StateChanged).Member.name, b.(StateChanged).Member.name)
	})
	return out
}

func (r *Roster) heard(now time.Time, e UpdatesReceived) []Effect {
	r.certain = true
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
		return r.admit(now, u)
	}
	if !u.Supersedes(*m) {
		return nil
	}
	return []Effect{r.set(now, m, u)}
}

// refute answers a false statement about this router with a higher incarnation.
func (r *Roster) refute(u Member) {
	if u.Supersedes(r.self) {
		r.self.incarnation = u.incarnation + 1
	}
	r.news.add(r.self.name)
}

func (r *Roster) admit(now time.Time, u Member) []Effect {
	m := u
	m.since = now
	m.doubtful = false
	m.raisedHere = false
	m.deadline = time.Time{}
	r.peers[u.name] = &m
	if u.incarnation > 0 {
		// What comes from the platform's list reaches every router by itself.
		r.news.add(u.name)
	}
	if u.state == Suspect {
		m.deadline = now.Add(r.opts.suspicion)
	}
	r.insertIntoRound(u.name)
	return []Effect{StateChanged{Member: m, From: Gone}}
}

// set replaces what is believed of a member and spreads it.
func (r *Roster) set(now time.Time, m *Member, u Member) Effect {
	from := m.state
	address, place := m.address, m.place
	*m = u
	if m.address == "" {
		m.address, m.place = address, place
	}
	m.since = now
	m.doubtful = false
	m.raisedHere = false
	m.deadline = time.Time{}
	if m.state == Suspect {
		m.deadline = now.Add(r.opts.suspicion)
	}
	r.news.add(m.name)
	return StateChanged{Member: *m, From: from}
}

func (r *Roster) answered(_ time.Time, name string) []Effect {
	r.certain = true
	if m, ok := r.peers[name]; ok {
		m.doubtful = false
	}
	return nil
}

// listed takes unknown routers from the platform's list. The list lags, so it
// never changes what is believed of a known member, except that one which it
// gives as leaving does leave. One member that is believed gone but still
// listed is probed, so that parted regions find each other again.
func (r *Roster) listed(now time.Time, members []Member) []Effect {
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
			out = append(out, r.admit(now, l)...)
		case ok && l.state == Leaving && m.state < Leaving:
			out = append(out, r.set(now, m, m.WithState(Leaving)))
		case ok && l.state == Alive && m.state == Gone:
			gone = append(gone, *m)
		}
	}
	if len(gone) > 0 {
		out = append(out, Probe{Member: gone[r.opts.pick(len(gone))]})
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
	r.news.add(r.self.name)
	return []Effect{StateChanged{Member: r.self, From: from}}
}

// retransmits is how often one statement is sent: a multiple of log2 n.
func (r *Roster) retransmits() int {
	bits := 1
	for n := len(r.peers) + 1; n > 1; n /= 2 {
		bits++
	}
	return retransmitFactor * bits
}
