package gateway

import (
	"time"

	"vanillalug.example"
	"vanillalug.example/evacuation"
	"vanillalug.example/peer"
)

const (
	// maxNewsBytes bounds the evacuations in a datagram, which has other content as well; more go
	// into the next ones.
	maxNewsBytes = 2 << 10
	// statementBytes is what a statement takes besides the name of the failure domain, at most.
	statementBytes = 32
)

// evacuationNews returns what peers are told in a datagram.
func (g *Gateway) evacuationNews(now time.Time) []*peer.PlaceEvacuation {
	e := &g.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	news := e.state.News(now)
	var out []*peer.PlaceEvacuation
	size := 0
	for i := range news {
		st := news[(e.newsOffset+i)%len(news)]
		size += len(st.Place) + statementBytes
		if size > maxNewsBytes {
			break
		}
		out = append(out, evacuationToProto(st))
	}
	if len(out) < len(news) {
		e.newsOffset = (e.newsOffset + len(out)) % len(news)
	}
	return out
}

// handleEvacuationNews applies what a peer tells in a datagram.
func (g *Gateway) handleEvacuationNews(s *peer.Share, now time.Time) {
	if len(s.Evacuations) > 0 {
		g.handleEvacuations(evacuation.Report{At: now, Statements: evacuationsFromProto(s.Evacuations)}, "peer "+s.From)
	}
}

// addEvacuations adds what this router knows of evacuated failure domains to a reply, and whether
// that is all up to the revision of the routing table.
func (g *Gateway) addEvacuations(reply *peer.GetBeliefsReply) {
	e := &g.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, st := range e.state.Statements() {
		reply.Evacuations = append(reply.Evacuations, evacuationToProto(st))
	}
	reply.EvacuationsComplete = e.state.CompleteAt(planRevision(reply))
}

// applyPeerEvacuations applies what a peer knows.
func (g *Gateway) applyPeerEvacuations(reply *peer.GetBeliefsReply) {
	now, statements, source := g.clock.Now(), evacuationsFromProto(reply.Evacuations), "peer "+reply.From
	if !reply.EvacuationsComplete {
		g.handleEvacuations(evacuation.Report{At: now, Statements: statements}, source)
		return
	}
	g.handleEvacuations(evacuation.Read{At: now, Revision: planRevision(reply), Statements: statements}, source)
}

func evacuationToProto(st evacuation.Statement) *peer.PlaceEvacuation {
	return &peer.PlaceEvacuation{
		Place: st.Place, Evacuated: st.Evacuated, Epoch: st.Revision.Epoch(), Revision: st.Revision.Number(),
	}
}

func evacuationsFromProto(in []*peer.PlaceEvacuation) []evacuation.Statement {
	out := make([]evacuation.Statement, 0, len(in))
	for _, p := range in {
		if p == nil {
			continue
		}
		out = append(out, evacuation.Statement{
			Place: p.Place, Evacuated: p.Evacuated, Revision: vanillalug.NewStoreRevision(p.Epoch, p.Revision),
		})
	}
	return out
}
