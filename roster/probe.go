package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// successor returns the member that follows this router on a hash ring. Every
// member is the successor of some router and is therefore probed every other
// tick. Hashing separates members with similar names, which may fail together.
func (r *Roster) successor() (Member, bool) {
	own := ringPosition(r.self.name)
	var next *Member
	minDistance := uint64(0)
	for _, m := range r.peers {
		if m.state == Gone {
			continue
		}
		if distance := ringPosition(m.name) - own; next == nil || distance < minDistance {
			next, minDistance = m, distance
		}
	}
	if next == nil {
		return Member{}, false
	}
	return *next, true
}

// ringPosition returns the position of a name on the hash ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

// handlePause restarts every suspicion timeout and discards failed probes of
// leaving members, since responses may be missing because of the pause. It
// increments the incarnation, since the peers may have declared this router gone
// in the meantime.
func (r *Roster) handlePause(now time.Time, gap time.Duration) []Effect {
	r.fresh = false
	r.self.incarnation++
	for _, m := range r.peers {
		m.unresponsive = false
		if m.state == Suspect {
			m.deadline = now.Add(r.opts.suspicion)
		}
	}
	return []Effect{Paused{Gap: gap}}
}

// probeSuspects probes the members again whose suspicion this router started. The
// probe carries the suspicion, so that they can refute it at once.
func (r *Roster) probeSuspects() []Effect {
	var names []string
	for name, m := range r.peers {
		if m.suspectedHere && m.state == Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []Effect
	for _, name := range names {
		out = append(out, Probe{Member: *r.peers[name]})
	}
	return out
}

// nextToProbe returns the next peer of the current round. A round has all peers in
// random order.
func (r *Roster) nextToProbe() (Member, bool) {
	for range 2 {
		for len(r.round) > 0 {
			name := r.round[len(r.round)-1]
			r.round = r.round[:len(r.round)-1]
			if m, ok := r.peers[name]; ok && m.state != Gone {
				return *m, true
			}
		}
		r.startRound()
	}
	return Member{}, false
}

func (r *Roster) startRound() {
	for name, m := range r.peers {
		if m.state != Gone {
			r.round = append(r.round, name)
		}
	}
	slices.Sort(r.round)
	r.shuffle(r.round)
}

func (r *Roster) shuffle(names []string) {
	for i := len(names) - 1; i > 0; i-- {
		j := r.opts.intN(i + 1)
		names[i], names[j] = names[j], names[i]
	}
}

func (r *Roster) insertIntoRound(name string) {
	at := r.opts.intN(len(r.round) + 1)
	r.round = slices.Insert(r.round, at, name)
}

func (r *Roster) probeFailed(now time.Time, name string) []Effect {
	m, ok := r.peers[name]
	if !ok || m.state == Gone {
		return nil
	}
	proxies := r.proxies(name)
	if len(proxies) == 0 {
		return r.suspect(now, name)
	}
	return []Effect{IndirectProbe{Member: *m, Via: proxies}}
}

func (r *Roster) proxies(except string) []Member {
	var names []string
	for name, m := range r.peers {
		if name != except && m.state == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	r.shuffle(names)
	var out []Member
	for _, name := range names[:min(len(names), indirectProbers)] {
		out = append(out, *r.peers[name])
	}
	return out
}

// suspect starts the suspicion of a member. A leaving member keeps its state, but
// is gone after the same timeout.
func (r *Roster) suspect(now time.Time, name string) []Effect {
	m, ok := r.peers[name]
	if !ok {
		return nil
	}
	switch m.state {
	case Alive:
		changed := r.replace(now, m, m.WithState(Suspect))
		m.suspectedHere = true
		return []Effect{changed, Probe{Member: *m}}
	case Leaving:
		if !m.unresponsive {
			m.unresponsive = true
			m.deadline = now.Add(r.opts.suspicion)
		}
	}
	return nil
}
