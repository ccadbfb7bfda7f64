package handlers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

// PeerAPI serves the HTTP API for other routers.
type PeerAPI struct {
	router     *office.Router
	key        string
	maxBody    int64
	heartbeats heartbeats
}

// NewPeerAPI returns the handlers of the peer listener, for routers that present
// the key.
func NewPeerAPI(router *office.Router, clock schedule.Clock, key string, maxBody int) *PeerAPI {
	p := &PeerAPI{router: router, key: key, maxBody: int64(maxBody) + 4<<10}
	clock.Every(heartbeatInterval, p.heartbeats.sendAll)
	return p
}

// Register adds the handlers to a server.
func (p *PeerAPI) Register(s *reception.Server) {
	twirp := peer.NewPeerServer(p)
	count := meter.ControlBytes(meter.ProbeServed)
	s.Handle(http.MethodPost, twirp.PathPrefix(), p.requireKey(countBytes(count, p.buffered(twirp))))
	s.Handle(http.MethodPost, courier.RelayPath, p.requireKey(p.relay))
}

// buffered passes calls on when their body has arrived.
func (p *PeerAPI) buffered(next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { reception.BufferBody(w, r, maxCallBytes, next) }
}

// maxCallBytes bounds the body of a peer's call. The longest hands over the chats of a router.
const maxCallBytes = 8 << 20

func (p *PeerAPI) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !reception.Authenticated(r, p.key) {
			http.Error(w, "wrong peer key", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// relay serves a chat request that a peer relayed to this router for admission.
func (p *PeerAPI) relay(w http.ResponseWriter, r *http.Request) {
	var q courier.RelayRequest
	if err := json.Unmarshal([]byte(r.Header.Get(courier.RelayHeader)), &q); err != nil {
		http.Error(w, courier.RelayHeader+": "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := reception.ReadRequestBody(w, r, p.maxBody, time.Time{})
	if err != nil {
		http.Error(w, "body: "+err.Error(), reception.BodyStatus(err))
		return
	}
	q.Body = body
	p.router.CountRelay(1)
	meter.Add("relays_served", 1)
	defer p.router.CountRelay(-1)
	sink := newRelaySink(w, q.Request, p.router.OwnLoads)
	defer p.heartbeats.add(sink)()
	result := p.router.Admit(r.Context(), q, sink)
	if b, ok := office.NewResultBody(result); ok {
		sink.writeResult(b)
	}
}

// Probe implements peer.Peer.
func (p *PeerAPI) Probe(_ context.Context, q *peer.ProbeRequest) (*peer.ProbeReply, error) {
	return &peer.ProbeReply{Gossip: p.router.ExchangeGossip(q.GetGossip())}, nil
}

// ProbeOther implements peer.Peer.
func (p *PeerAPI) ProbeOther(ctx context.Context, q *peer.ProbeOtherRequest) (*peer.ProbeOtherReply, error) {
	return p.router.ProbeOther(ctx, q.GetMember()), nil
}

// GetDocument implements peer.Peer.
func (p *PeerAPI) GetDocument(context.Context, *peer.GetDocumentRequest) (*peer.GetDocumentReply, error) {
	h, text := p.router.Document()
	return &peer.GetDocumentReply{Head: peer.NewHead(h), Text: text}, nil
}

// GetStatus implements peer.Peer.
func (p *PeerAPI) GetStatus(context.Context, *peer.GetStatusRequest) (*peer.GetStatusReply, error) {
	return p.router.Status(), nil
}

// HandOver implements peer.Peer.
func (p *PeerAPI) HandOver(_ context.Context, q *peer.HandOverRequest) (*peer.HandOverReply, error) {
	return &peer.HandOverReply{Taken: uint32(p.router.AcceptHandOver(q))}, nil
}
