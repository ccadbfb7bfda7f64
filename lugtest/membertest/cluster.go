// Package membertest simulates the membership protocol of many routers on a fake
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

// Cluster simulates the membership protocol of many routers on a fake clock.
// Messages are delivered without delay or lost.
type Cluster struct {
	clock       *schedule.Fake
	random      *rand.Rand
	loss        float64
	nodes       map[string]*Node
	names       []string
	partitioned func(a, b string) bool
	index       *peer.TargetIndex
	sent        []sentMessage
}

// sentMessage is a message that may be redelivered later.
type sentMessage struct {
	to     string
	gossip *peer.Gossip
}

// maxSent is the number of messages that are kept for redelivery.
const maxSent = 200

// Node is one router of a Cluster.
type Node struct {
	Roster *roster.Roster
	Loads  *dispatch.LoadView
	down   bool
	frozen bool
	cancel func()

	// Messages and Bytes count the messages sent and received, and their size
	// without headers.
	Messages int
	Bytes    int
	// Changes are the state changes of members at this router, in order.
	Changes []roster.StateChanged
}

// Down reports whether the router was killed.
func (n *Node) Down() bool { return n.down }

// New returns a cluster of routers that all know each other from the VM list. The
// loss is the share of messages that are lost, from 0 to 1.
func New(routers int, seed uint64, loss float64) *Cluster {
	c := &Cluster{
		clock:       schedule.NewFake(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)),
		random:      rand.New(rand.NewPCG(seed, seed+1)),
		loss:        loss,
		nodes:       map[string]*Node{},
		partitioned: func(string, string) bool { return false },
		index:       peer.NewTargetIndex(1, nil),
	}
	for i := range routers {
		c.names = append(c.names, fmt.Sprintf("r%03d", i))
	}
	for _, name := range c.names {
		c.Start(name)
	}
	for _, name := range c.names {
		c.DeliverVMList(name)
	}
	return c
}

// SetTargets sets the names of the targets whose loads are propagated by gossip.
func (c *Cluster) SetTargets(targets []string) { c.index = peer.NewTargetIndex(1, targets) }

// Clock returns the clock of all routers.
func (c *Cluster) Clock() *schedule.Fake { return c.clock }

// Names returns the names of all routers.
func (c *Cluster) Names() []string { return c.names }

// Node returns the router with the name.
func (c *Cluster) Node(name string) *Node { return c.nodes[name] }

// SetLoss sets the share of messages that are lost.
func (c *Cluster) SetLoss(loss float64) { c.loss = loss }

// Partition drops every message between two routers for which the function returns
// true.
func (c *Cluster) Partition(partitioned func(a, b string) bool) { c.partitioned = partitioned }

// Start starts or restarts a router. Its incarnation is the current time in
// milliseconds, so that a restart increases it.
func (c *Cluster) Start(name string) {
	if old, ok := c.nodes[name]; ok {
		old.cancel()
	}
	n := &Node{Loads: dispatch.NewLoadView()}
	self := roster.NewMember(name, "10.0.0.1:7001", "place-"+name[len(name)-1:], uint64(c.clock.Now().UnixMilli()))
	n.Roster = roster.New(c.clock, self, roster.WithIntN(c.random.IntN))
	c.nodes[name] = n
	offset := time.Duration(c.random.Int64N(int64(roster.ProbeInterval)))
	n.cancel = c.clock.After(offset, func(time.Time) {
		n.cancel = c.clock.Every(roster.ProbeInterval, func(time.Time) { c.tick(name, n) })
	})
}

// Kill stops a router without a leave message.
func (c *Cluster) Kill(name string) {
	c.nodes[name].down = true
	c.nodes[name].cancel()
}

// Freeze pauses or resumes a router, like SIGSTOP and SIGCONT.
func (c *Cluster) Freeze(name string, frozen bool) { c.nodes[name].frozen = frozen }

// Leave makes a router leave.
func (c *Cluster) Leave(name string) {
	n := c.nodes[name]
	c.apply(name, n, n.Roster.Handle(roster.Leave{}))
}

// DeliverVMList delivers the platform's list of VMs to a router. The list has every
// router as live.
func (c *Cluster) DeliverVMList(name string) {
	var all []roster.Member
	for _, other := range c.names {
		all = append(all, roster.NewMember(other, "10.0.0.1:7001", "place-"+other[len(other)-1:], 0))
	}
	n := c.nodes[name]
	c.apply(name, n, n.Roster.Handle(roster.ListReceived{Members: all}))
}

func (c *Cluster) tick(name string, n *Node) {
	if n.down || n.frozen {
		return
	}
	c.apply(name, n, n.Roster.Handle(roster.Tick{}))
}

func (c *Cluster) apply(name string, n *Node, effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Probe:
			c.probe(name, n, e.Member)
		case roster.IndirectProbe:
			c.indirectProbe(name, n, e)
		case roster.StateChanged:
			n.Changes = append(n.Changes, e)
		}
	}
}

func (c *Cluster) probe(name string, n *Node, to roster.Member) {
	if c.exchange(name, to.Name()) {
		c.apply(name, n, n.Roster.Handle(roster.ProbeSucceeded{Name: to.Name()}))
		return
	}
	c.clock.After(roster.ProbeTimeout, func(time.Time) {
		if !n.down && !n.frozen {
			c.apply(name, n, n.Roster.Handle(roster.ProbeFailed{Name: to.Name()}))
		}
	})
}

func (c *Cluster) indirectProbe(name string, n *Node, e roster.IndirectProbe) {
	for _, other := range e.Via {
		if c.exchange(name, other.Name()) && c.exchange(other.Name(), e.Member.Name()) {
			c.apply(name, n, n.Roster.Handle(roster.ProbeSucceeded{Name: e.Member.Name()}))
			return
		}
	}
	c.clock.After(roster.IndirectTimeout, func(time.Time) {
		if !n.down && !n.frozen {
			c.apply(name, n, n.Roster.Handle(roster.IndirectProbeFailed{Name: e.Member.Name()}))
		}
	})
}

// exchange sends a probe and its response, and reports whether the response was
// received.
func (c *Cluster) exchange(from, to string) bool {
	a, b := c.nodes[from], c.nodes[to]
	if !c.send(a, b, from, to) {
		return false
	}
	return c.send(b, a, to, from)
}

func (c *Cluster) send(a, b *Node, from, to string) bool {
	if b == nil || a.down || b.down || a.frozen || b.frozen {
		return false
	}
	g := peer.NewGossip(a.Roster, a.Loads, c.index, to, c.clock.Now(), c.random.IntN)
	size := proto.Size(g)
	c.sent = append(c.sent, sentMessage{to: to, gossip: g})
	if len(c.sent) > maxSent {
		c.sent = c.sent[1:]
	}
	a.Messages++
	a.Bytes += size
	if c.random.Float64() < c.loss || c.partitioned(from, to) {
		return false
	}
	b.Messages++
	b.Bytes += size
	c.apply(to, b, g.Apply(b.Roster, b.Loads, c.index, c.clock.Now()))
	return true
}

// Redeliver delivers one of the last maxSent messages again; intN chooses which.
func (c *Cluster) Redeliver(intN func(n int) int) {
	if len(c.sent) == 0 {
		return
	}
	x := c.sent[intN(len(c.sent))]
	n := c.nodes[x.to]
	if !n.down && !n.frozen {
		c.apply(x.to, n, x.gossip.Apply(n.Roster, n.Loads, c.index, c.clock.Now()))
	}
}

// CountState returns the number of running routers at which a member has the
// state, and the number of the remaining running routers, without the member itself.
func (c *Cluster) CountState(name string, state roster.State) (matching, others int) {
	for other, n := range c.nodes {
		if other == name || n.down || n.frozen {
			continue
		}
		p, ok := n.Roster.Peer(name)
		if !ok && state == roster.Gone || ok && p.State() == state {
			matching++
		} else {
			others++
		}
	}
	return matching, others
}
