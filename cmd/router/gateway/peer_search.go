package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"vanillalug.example/delivery"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

// peerSearch asks peers, and the store, for what this router lacks. Only one goroutine uses it.
type peerSearch struct {
	g      *Gateway
	search *delivery.Search
	ahead  map[string]peerAhead
	// calls are those in progress by peer, and ended receives their replies.
	calls map[string]peerCall
	ended chan peerReply
	// registryPolled says that the store was asked for changes of the registry.
	registryPolled bool
}

// peerCall is a call in progress.
type peerCall struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// peerReply is the end of a call to a peer, which was made with the versions.
type peerReply struct {
	call    context.Context // it identifies the call
	from    peerAhead
	current versions
	reply   *peer.GetBeliefsReply
	after   time.Duration
	err     error
}

// syncFromPeersAhead asks peers that are ahead, and the store, until none of them is.
func (g *Gateway) syncFromPeersAhead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &peerSearch{
		g: g, search: delivery.NewSearch(g.deliveries, g.clock.Now()),
		calls: map[string]peerCall{}, ended: make(chan peerReply),
	}
	for ctx.Err() == nil && !s.search.Over(g.clock.Now()) {
		ahead := g.peers.ahead(g.versions())
		if len(ahead) == 0 {
			return
		}
		switch a := s.next(ahead).(type) {
		case delivery.Ask:
			s.ask(ctx, a)
		case delivery.AskStore:
			s.askStore(ahead[0])
		case delivery.Wait:
			s.wait(ctx, a.For)
		}
	}
}

func (s *peerSearch) next(ahead []peerAhead) delivery.Action {
	s.ahead = make(map[string]peerAhead, len(ahead))
	names := make([]string, 0, len(ahead))
	for _, a := range ahead {
		s.ahead[a.name] = a
		names = append(names, a.name)
	}
	return s.search.Next(s.g.clock.Now(), names, s.progress)
}

func (s *peerSearch) progress(peer string) delivery.Progress {
	p := reception.Progress(s.calls[peer].ctx)
	return delivery.Progress{Received: p.Received, Total: p.Total, For: p.Since}
}

// ask calls a peer in the background. A peer that doesn't compress a large routing table sends it
// only once the store was asked.
func (s *peerSearch) ask(ctx context.Context, a delivery.Ask) {
	if given, found := s.calls[a.GiveUp]; found {
		given.cancel()
		delete(s.calls, a.GiveUp)
	}
	call, cancel := reception.WithIdleTimeout(ctx, peerCallTimeout, peerCallTimeout)
	s.calls[a.Peer] = peerCall{ctx: call, cancel: cancel}
	s.g.tableLag.call()
	from, current, start := s.ahead[a.Peer], s.g.versions(), s.g.clock.Now()
	insist := s.search.StoreAsked()
	go func() {
		defer cancel()
		reply, err := s.g.getBeliefs(call, from.address, current, &peer.GetBeliefsRequest{Insist: insist})
		end := peerReply{call: call, from: from, current: current, reply: reply, after: s.g.clock.Now().Sub(start), err: err}
		select {
		case s.ended <- end:
		case <-ctx.Done():
		}
	}()
}

// askStore polls the store for what a peer has.
func (s *peerSearch) askStore(ahead peerAhead) {
	current := s.g.versions()
	s.pollRegistry(current, ahead)
	if ahead.table > current.table {
		s.g.watchers.table.interrupt()
	}
}

// wait waits for the end of a call, for a time at most, and handles it.
func (s *peerSearch) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case end := <-s.ended:
		if s.calls[end.from.name].ctx == end.call {
			delete(s.calls, end.from.name)
			s.handle(end)
		}
	}
}

// handle applies the reply of a call that has ended.
func (s *peerSearch) handle(end peerReply) {
	g, now := s.g, s.g.clock.Now()
	s.search.Ended(end.from.name, now, catchUpPause/2+rand.N(catchUpPause))
	if end.err != nil {
		g.deliveries.Failed(end.from.name, now)
		countTableTransfer(tableFromPeer, "failed", 0)
		g.log.Warn("a peer did not tell what it knows", "peer", end.from.address.String(), "version", end.current.table,
			"revision", end.current.registry, "after", end.after.String(), "error", end.err)
		return
	}
	g.applyReply(end.reply, end.from.address, end.current)
	current := g.versions()
	if !current.behind(end.from.peerVersions) {
		g.deliveries.Delivered(end.from.name)
		return
	}
	g.deliveries.Busy(end.from.name, now)
	s.pollRegistry(current, end.from)
}

// pollRegistry polls the store for changes of the registry that a peer has, once in a search.
func (s *peerSearch) pollRegistry(current versions, ahead peerAhead) {
	if !s.registryPolled && current.registryBehind(ahead.peerVersions) {
		s.g.watchers.registry.interrupt()
		s.registryPolled = true
	}
}
