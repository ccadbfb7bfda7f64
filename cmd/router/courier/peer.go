package courier

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

const (
	// RelayPath is where a peer takes relayed chat requests.
	RelayPath = "/peer/relay"
	// RelayHeader carries the Relay of a request.
	RelayHeader = "Vanillalug-Relay"
	// TwirpPrefix is where a peer takes twirp calls.
	TwirpPrefix = "/twirp"
)

// RelayRequest is what a router tells the admitting router of a chat request.
type RelayRequest struct {
	Request     string   `json:"request"`
	From        string   `json:"from"`
	Workspace   string   `json:"workspace"`
	Class       string   `json:"class"`
	Model       string   `json:"model"`
	Chat        string   `json:"chat"`
	Engine      string   `json:"engine"`
	Home        string   `json:"home,omitempty"`
	Next        string   `json:"next,omitempty"`
	Others      []string `json:"others,omitempty"`
	Returning   bool     `json:"returning,omitempty"`
	Speculative bool     `json:"inherited,omitempty"`
	CanForward  bool     `json:"deeper,omitempty"`
	NoRedirect  bool     `json:"final,omitempty"`
	Last        bool     `json:"last,omitempty"`
	Spilled     bool     `json:"waited,omitempty"`
	Resume      bool     `json:"resume,omitempty"`
	Offset      int      `json:"offset,omitempty"`
	Version     uint64   `json:"version"`
	Loads       []Load   `json:"loads,omitempty"`
	Body        []byte   `json:"-"`
}

// Load is the load of a target as relays and their answers carry it, so that
// loads spread as fast as requests come.
type Load struct {
	Target   string `json:"t"`
	InFlight int    `json:"n"`
	AgeMS    int64  `json:"a"`
}

// PeerClient is what a router asks of other routers.
type PeerClient struct {
	key     string
	probes  *reception.Client
	docs    *reception.Client
	hands   *reception.Client
	streams *reception.Client
	idle    time.Duration
}

// NewPeerClient returns the way to other routers, which all present the key. A
// relayed stream that brings nothing for the idle bound is given up.
func NewPeerClient(key string, probes, docs, hands, streams *reception.Client, idle time.Duration) *PeerClient {
	return &PeerClient{key: key, probes: probes, docs: docs, hands: hands, streams: streams, idle: idle}
}

// Probe exchanges gossip with the peer at the address.
func (p *PeerClient) Probe(ctx context.Context, address string, g *peer.Gossip) (*peer.Gossip, error) {
	w, err := p.client(p.probes, address).Probe(p.sign(ctx), &peer.ProbeRequest{Gossip: g})
	if err != nil {
		return nil, p.failed(ctx, "Probe", p.probes, err)
	}
	return w.GetGossip(), nil
}

// ProbeOther asks the peer at the address to probe a third router.
func (p *PeerClient) ProbeOther(ctx context.Context, address string, m *peer.Member) (*peer.ProbeOtherReply, error) {
	w, err := p.client(p.probes, address).ProbeOther(p.sign(ctx), &peer.ProbeOtherRequest{Member: m})
	if err != nil {
		return nil, p.failed(ctx, "ProbeOther", p.probes, err)
	}
	return w, nil
}

// Document returns the fleet document in force at the peer.
func (p *PeerClient) Document(ctx context.Context, address string) (*peer.GetDocumentReply, error) {
	w, err := p.client(p.docs, address).GetDocument(p.sign(ctx), &peer.GetDocumentRequest{})
	if err != nil {
		return nil, p.failed(ctx, "Document", p.docs, err)
	}
	return w, nil
}

// Status returns what the peer has in force.
func (p *PeerClient) Status(ctx context.Context, address string) (*peer.GetStatusReply, error) {
	w, err := p.client(p.docs, address).GetStatus(p.sign(ctx), &peer.GetStatusRequest{})
	if err != nil {
		return nil, p.failed(ctx, "Status", p.docs, err)
	}
	return w, nil
}

// HandOver gives the peer what is known of an engine's chats.
func (p *PeerClient) HandOver(ctx context.Context, address string, q *peer.HandOverRequest) error {
	if _, err := p.client(p.hands, address).HandOver(p.sign(ctx), q); err != nil {
		return p.failed(ctx, "HandOver", p.hands, err)
	}
	return nil
}

// Relay sends a chat request to the admitting router at the address.
func (p *PeerClient) Relay(ctx context.Context, address string, q RelayRequest) (Stream, error) {
	meta, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("Peers.Relay: %w", err)
	}
	r, cancel, err := newRequest(ctx, http.MethodPost, "http://"+address+RelayPath, q.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	r.Header.Set(RelayHeader, string(meta))
	timer := time.AfterFunc(p.idle, cancel)
	w, err := p.streams.DoRequest(r) //nolint:bodyclose // The stream closes it.
	if !timer.Stop() && err != nil {
		p.streams.CloseIdleConnections()
		return nil, &IdleTimeoutError{bound: p.idle}
	}
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if w.StatusCode != http.StatusOK {
		defer cancel()
		return nil, readStatusError(w)
	}
	return newHTTPStream(w.Body, cancel, p.idle, p.idle).events(q.Request, q.Offset), nil
}

func (p *PeerClient) client(c *reception.Client, address string) peer.Peer {
	return peer.NewPeerProtobufClient("http://"+address, c)
}

func (p *PeerClient) sign(ctx context.Context) context.Context {
	h := http.Header{"Authorization": {"Bearer " + p.key}}
	signed, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx
	}
	return signed
}

// failed stops trusting pooled connections after one went silent.
func (p *PeerClient) failed(ctx context.Context, op string, c *reception.Client, err error) error {
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	return fmt.Errorf("Peers.%s: %w", op, err)
}
