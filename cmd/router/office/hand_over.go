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
	// maxHandedOverChats is the maximum number of chats in one message.
	maxHandedOverChats = 20000
)

// handOver sends the new admitting router the chats that were redirected to other
// engines. The new router reads the cached chats from the engine.
func (r *Router) handOver(es *engineState) {
	owner := r.owners().owner(es.engine)
	m, ok := r.roster.Peer(owner)
	if !ok {
		return
	}
	q := &peer.HandOverRequest{Engine: es.engine}
	for chat, engine := range es.cacheIndex.Redirects() {
		if len(q.Chats) == maxHandedOverChats {
			break
		}
		q.Chats = append(q.Chats, &peer.ChatPlace{Chat: uint64(chat), Engine: engine})
	}
	if len(q.Chats) == 0 {
		return
	}
	ctx, done := detachedContext(handOverTimeout)
	defer done()
	if err := r.peers.HandOver(ctx, m.Address(), q); err != nil {
		meter.Add("hand_over_failures", 1)
	}
}

// AcceptHandOver records the redirected chats that the former admitting router of an
// engine sent. It returns their number, or 0 if the engine is unknown.
func (r *Router) AcceptHandOver(q *peer.HandOverRequest) int {
	f := r.Fleet()
	if f == nil {
		return 0
	}
	e, ok := f.Engine(q.GetEngine())
	if !ok {
		return 0
	}
	es, added := r.engineStates.getOrAdd(e.Name(), func() *engineState { return newEngineState(r, e.Name(), e.Slots()) })
	if added {
		es.markUsed(r.clock.Now())
		go r.pollEngine(es, e)
	}
	for _, c := range q.GetChats() {
		es.cacheIndex.Handle(dispatch.Spilled{Chat: vanillalug.ChatKey(c.GetChat()), Engine: c.GetEngine()})
	}
	return len(q.GetChats())
}
