package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// successor returns the member that follows this router in the order of hashes.
// Every member is some router's successor and is therefore probed every other
// tick. Neighbours by name, which may be lost together, are not neighbours here.
func (r *Roster) successor() (Member, bool) {
	own := ringPosition(r.self.name)
	var next *Member
	least := uint64(0)
	for _, m := range r.peers {
		if m.state == Gone {
			continue
		}
		if distance := ringPosition(m.name) - own; next == nil || distance < least {
			next, least = m, distance
		}
	}
	if next == nil {
		return Member{}, false
	}
	return *next, true
}

// ringPosition returns the place of a name in the order of hashes.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

// paused forgets every suspicion, since the missing answers may be this
// router's own fault, and raises the incarnation, since the peers may have
// declared this router gone meanwhile.
func (r *Roster) paused(now time.Time, gap time.Duration) []Effect {
	r.certain = false
	r.self.incarnation++
	for _, m := range r.peers {
		m.doubtful = false
		if m.state == Suspect {
			m.deadline = now.Add(r.opts.suspicion)
		}
	}
	return []Effect{Paused{Gap: gap}}
}

// askSuspects probes again the members that this router suspects itself. The
// probe says that they are suspected, so that they can refute at once.
func (r *Roster) askSuspects() []Effect {
	var names []string
	for name, m := range r.peers {
		if m.raisedHere && m.state == Suspect {
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

// nextToProbe goes through all peers in random order before it starts again.
func (r *Roster) nextToProbe() (Member, bool) {
	for range 2 {
		for len(r.round) > 0 {
			name := r.round[len(r.round)-1]
			r.round = r.round[:len(r.round)-1]
			if m, ok := r.peers[name]; ok && m.state != Gone {
				return *m, true
			}
		}
		r.newRound()
	}
	return Member{}, false
}

func (r *Roster) newRound() {
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
		j := r.opts.pick(i + 1)
		names[i], names[j] = names[j], names[i]
	}
}

func (r *Roster) insertIntoRound(name string) {
	at := r.opts.pick(len(r.round) + 1)
	r.round = slices.Insert(r.round, at, name)
}

func (r *Roster) unanswered(now time.Time, name string) []Effect {
	m, ok := r.peers[name]
	if !ok || m.state == Gone {
		return nil
	}
	others := r.others(name)
	if len(others) == 0 {
		return r.suspect(now, name)
	}
	return []Effect{IndirectProbe{Member: *m, Via: others}}
}

func (r *Roster) others(except string) []Member {
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

// suspect starts the suspicion of a member. A leaving member keeps its state
// and is gone at the same deadline.
func (r *Roster) suspect(now time.Time, name string) []Effect {
	m, ok := r.peers[name]
	if !ok {
		return nil
	}
	switch m.state {
	case Alive:
		changed := r.set(now, m, m.WithState(Suspect))
		m.raisedHere = true
		return []Effect{changed, Probe{Member: *m}}
	case Leaving:
		if !m.doubtful {
			m.doubtful = true
			m.deadline = now.Add(r.opts.suspicion)
		}
	}
	return nil
}
