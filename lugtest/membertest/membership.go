// Package membertest drives the membership decisions of many routers on a fake
// clock, for tests and measurements.
package membertest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

// Cluster drives the membership decisions of many routers on a fake clock.
// Messages are exchanged at once or lost.
type Cluster struct {
	clock  *schedule.Fake
	random *rand.Rand
	loss   float64
	nodes  map[string]*Node
	names  []string
	parted func(a, b string) bool
	index  *peer.Index
	sent   []sentMessage
}

// sentMessage is a message that may come again, late.
type sentMessage struct {
	to     string
	gossip *peer.Gossip
}

// maxSent is the number of messages that may come again.
const maxSent = 200

// Node is one router of a Membership.
type Node struct {
	Roster *roster.Roster
	Loads  *dispatch.LoadView
	down   bool
	frozen bool
	cancel func()

	// Messages and Bytes count what was sent and received, without headers.
	Messages int
	Bytes    int
	// Changes are the changes of state that the router saw.
	Changes []roster.StateChanged
}

// Down reports whether the router has ended.
func (n *Node) Down() bool { return n.down }

// New returns routers that all know each other from the list. The
// loss is the share of messages that are lost.
func New(routers int, seed uint64, loss float64) *Cluster {
	m := &Cluster{
		clock:  schedule.NewFake(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)),
		random: rand.New(rand.NewPCG(seed, seed+1)),
		loss:   loss,
		nodes:  map[string]*Node{},
		parted: func(string, string) bool { return false },
		index:  peer.NewIndex(1, nil),
	}
	for i := range routers {
		m.names = append(m.names, fmt.Sprintf("r%03d", i))
	}
	for _, name := range m.names {
		m.Start(name)
	}
	for _, name := range m.names {
		m.DeliverVMList(name)
	}
	return m
}

// SetTargets sets the names of the targets whose loads are spread.
func (m *Cluster) SetTargets(targets []string) { m.index = peer.NewIndex(1, targets) }

// Clock returns the clock of all routers.
func (m *Cluster) Clock() *schedule.Fake { return m.clock }

// Names returns the names of all routers.
func (m *Cluster) Names() []string { return m.names }

// Node returns a router.
func (m *Cluster) Node(name string) *Node { return m.nodes[name] }

// SetLoss sets the share of messages that are lost.
func (m *Cluster) SetLoss(loss float64) { m.loss = loss }

// Partition loses every message between routers for which the function holds.
func (m *Cluster) Partition(parted func(a, b string) bool) { m.parted = parted }

// Start starts a router, again with a higher incarnation where it has ended.
func (m *Cluster) Start(name string) {
	if old, ok := m.nodes[name]; ok {
		old.cancel()
	}
	n := &Node{Loads: dispatch.NewLoadView()}
	self := roster.NewMember(name, "10.0.0.1:7001", "place-"+name[len(name)-1:], uint64(m.clock.Now().UnixMilli()))
	n.Roster = roster.New(m.clock, self, roster.WithIntN(m.random.IntN))
	m.nodes[name] = n
	offset := time.Duration(m.random.Int64N(int64(roster.ProbeInterval)))
	n.cancel = m.clock.After(offset, func(time.Time) {
		n.cancel = m.clock.Every(roster.ProbeInterval, func(time.Time) { m.tick(name, n) })
	})
}

// Kill ends a router without a word.
func (m *Cluster) Kill(name string) {
	m.nodes[name].down = true
	m.nodes[name].cancel()
}

// Freeze stops a router, or lets it go on.
func (m *Cluster) Freeze(name string, frozen bool) { m.nodes[name].frozen = frozen }

// Leave makes a router leave. It tells some peers at once.
func (m *Cluster) Leave(name string) {
	n := m.nodes[name]
	m.carry(name, n, n.Roster.Handle(roster.Leave{}))
}

// DeliverVMList gives the platform's list, which has every router as live, to a router.
func (m *Cluster) DeliverVMList(name string) {
	var all []roster.Member
	for _, other := range m.names {
		all = append(all, roster.NewMember(other, "10.0.0.1:7001", "place-"+other[len(other)-1:], 0))
	}
	n := m.nodes[name]
	m.carry(name, n, n.Roster.Handle(roster.ListReceived{Members: all}))
}

func (m *Cluster) tick(name string, n *Node) {
	if n.down || n.frozen {
		return
	}
	m.carry(name, n, n.Roster.Handle(roster.Tick{}))
}

func (m *Cluster) carry(name string, n *Node, effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Probe:
			m.probe(name, n, e.Member)
		case roster.IndirectProbe:
			m.probeThrough(name, n, e)
		case roster.StateChanged:
			n.Changes = append(n.Changes, e)
		}
	}
}

func (m *Cluster) probe(name string, n *Node, to roster.Member) {
	if m.exchange(name, to.Name()) {
		m.carry(name, n, n.Roster.Handle(roster.ProbeSucceeded{Name: to.Name()}))
		return
	}
	m.clock.After(roster.ProbeTimeout, func(time.Time) {
		if !n.down && !n.frozen {
			m.carry(name, n, n.Roster.Handle(roster.ProbeFailed{Name: to.Name()}))
		}
	})
}

func (m *Cluster) probeThrough(name string, n *Node, e roster.IndirectProbe) {
	for _, other := range e.Via {
		if m.exchange(name, other.Name()) && m.exchange(other.Name(), e.Member.Name()) {
			m.carry(name, n, n.Roster.Handle(roster.ProbeSucceeded{Name: e.Member.Name()}))
			return
		}
	}
	m.clock.After(roster.IndirectTimeout, func(time.Time) {
		if !n.down && !n.frozen {
			m.carry(name, n, n.Roster.Handle(roster.IndirectProbeFailed{Name: e.Member.Name()}))
		}
	})
}

// exchange sends a probe and its answer, and reports whether the answer came.
func (m *Cluster) exchange(from, to string) bool {
	a, b := m.nodes[from], m.nodes[to]
	if !m.send(a, b, from, to) {
		return false
	}
	return m.send(b, a, to, from)
}

func (m *Cluster) send(a, b *Node, from, to string) bool {
	if b == nil || a.down || b.down || a.frozen || b.frozen {
		return false
	}
	g := peer.NewGossip(a.Roster, a.Loads, m.index, to, m.clock.Now(), m.random.IntN)
	size := proto.Size(g)
	m.sent = append(m.sent, sentMessage{to: to, gossip: g})
	if len(m.sent) > maxSent {
		m.sent = m.sent[1:]
	}
	a.Messages++
	a.Bytes += size
	if m.random.Float64() < m.loss || m.parted(from, to) {
		return false
	}
	b.Messages++
	b.Bytes += size
	m.carry(to, b, g.Take(b.Roster, b.Loads, m.index, m.clock.Now()))
	return true
}

// Redeliver delivers one of the last messages again; pick chooses which.
func (m *Cluster) Redeliver(pick func(n int) int) {
	if len(m.sent) == 0 {
		return
	}
	x := m.sent[pick(len(m.sent))]
	n := m.nodes[x.to]
	if !n.down && !n.frozen {
		m.carry(x.to, n, x.gossip.Take(n.Roster, n.Loads, m.index, m.clock.Now()))
	}
}

// CountState counts the routers that run and believe the state of a member.
func (m *Cluster) CountState(name string, state roster.State) (believers, others int) {
	for other, n := range m.nodes {
		if other == name || n.down || n.frozen {
			continue
		}
		p, ok := n.Roster.Peer(name)
		if !ok && state == roster.Gone || ok && p.State() == state {
			believers++
		} else {
			others++
		}
	}
	return believers, others
}
