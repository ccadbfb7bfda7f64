package office

import (
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
)

const (
	handOverTimeout = 2 * time.Second
	// maxHandedChats bounds one message.
	maxHandedChats = 20000
)

// handOver gives the new admitting router the chats that were sent to other
// engines. It learns the rest from the engine.
func (o *Router) handOver(p *post) {
	owner := o.owners().of(p.engine)
	m, ok := o.roster.Peer(owner)
	if !ok {
		return
	}
	q := &peer.HandOverRequest{Engine: p.engine}
	for chat, engine := range p.keeper.Redirects() {
		if len(q.Chats) == maxHandedChats {
			break
		}
		q.Chats = append(q.Chats, &peer.ChatPlace{Chat: uint64(chat), Engine: engine})
	}
	if len(q.Chats) == 0 {
		return
	}
	ctx, done := background(handOverTimeout)
	defer done()
	if err := o.peers.HandOver(ctx, m.Address(), q); err != nil {
		meter.Add("hand_over_failures", 1)
	}
}

// AcceptHandOver takes what a former admitting router knew of an engine's chats.
func (o *Router) AcceptHandOver(q *peer.HandOverRequest) int {
	f := o.Fleet()
	if f == nil {
		return 0
	}
	e, ok := f.Engine(q.GetEngine())
	if !ok {
		return 0
	}
	p, added := o.posts.getOrAdd(e.Name(), func() *post { return newPost(o, e.Name(), e.Slots()) })
	if added {
		p.touch(o.clock.Now())
		go o.watchEngine(p, e)
	}
	for _, c := range q.GetChats() {
		p.keeper.Handle(dispatch.Spilled{Chat: vanillalug.ChatKey(c.GetChat()), Engine: c.GetEngine()})
	}
	return len(q.GetChats())
}
