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
	// RelayPath is the path for relayed chat requests at a peer.
	RelayPath = "/peer/relay"
	// RelayHeader carries the RelayRequest as JSON, without the body.
	RelayHeader = "Vanillalug-Relay"
	// TwirpPrefix is the path prefix for Twirp calls at a peer.
	TwirpPrefix = "/twirp"
)

// RelayRequest is a chat request that a router sends to the router that admits
// for Engine. Others are the alternative engines in rendezvous order. Home,
// Next, Returning, Speculative, CanForward and NoRedirect are those of
// dispatch.Lookup. Last forbids spilling to another engine, and Spilled says
// that an engine already spilled the request. With Resume set, the stream is
// resumed at Offset.
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

// Load is the load of a target. It is sent along with relayed requests and
// their responses, so that loads propagate as fast as requests arrive.
type Load struct {
	Target   string `json:"t"`
	InFlight int    `json:"n"`
	AgeMS    int64  `json:"a"`
}

// PeerClient is the client of other routers.
type PeerClient struct {
	key         string
	probes      *reception.Client
	documents   *reception.Client
	handOvers   *reception.Client
	streams     *reception.Client
	idleTimeout time.Duration
}

// NewPeerClient returns a client that authenticates with the key, which all
// routers share. A relayed stream is aborted when nothing is received for
// idleTimeout.
func NewPeerClient(key string, probes, documents, handOvers, streams *reception.Client, idleTimeout time.Duration) *PeerClient {
	return &PeerClient{key: key, probes: probes, documents: documents, handOvers: handOvers, streams: streams, idleTimeout: idleTimeout}
}

// Probe exchanges gossip with the peer at the address.
func (p *PeerClient) Probe(ctx context.Context, address string, g *peer.Gossip) (*peer.Gossip, error) {
	w, err := p.client(p.probes, address).Probe(p.withKey(ctx), &peer.ProbeRequest{Gossip: g})
	if err != nil {
		return nil, p.wrapError(ctx, "Probe", p.probes, err)
	}
	return w.GetGossip(), nil
}

// ProbeOther asks the peer at the address to probe a third router.
func (p *PeerClient) ProbeOther(ctx context.Context, address string, m *peer.Member) (*peer.ProbeOtherReply, error) {
	w, err := p.client(p.probes, address).ProbeOther(p.withKey(ctx), &peer.ProbeOtherRequest{Member: m})
	if err != nil {
		return nil, p.wrapError(ctx, "ProbeOther", p.probes, err)
	}
	return w, nil
}

// Document returns the fleet document that is active at the peer.
func (p *PeerClient) Document(ctx context.Context, address string) (*peer.GetDocumentReply, error) {
	w, err := p.client(p.documents, address).GetDocument(p.withKey(ctx), &peer.GetDocumentRequest{})
	if err != nil {
		return nil, p.wrapError(ctx, "Document", p.documents, err)
	}
	return w, nil
}

// Status returns the status of the peer, with its active version.
func (p *PeerClient) Status(ctx context.Context, address string) (*peer.GetStatusReply, error) {
	w, err := p.client(p.documents, address).GetStatus(p.withKey(ctx), &peer.GetStatusRequest{})
	if err != nil {
		return nil, p.wrapError(ctx, "Status", p.documents, err)
	}
	return w, nil
}

// HandOver sends the peer, the new admitting router of an engine, the chats
// that were redirected or spilled from it to other engines.
func (p *PeerClient) HandOver(ctx context.Context, address string, q *peer.HandOverRequest) error {
	if _, err := p.client(p.handOvers, address).HandOver(p.withKey(ctx), q); err != nil {
		return p.wrapError(ctx, "HandOver", p.handOvers, err)
	}
	return nil
}

// Relay sends a chat request to the admitting router at the address.
func (p *PeerClient) Relay(ctx context.Context, address string, q RelayRequest) (Stream, error) {
	meta, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("PeerClient.Relay: %w", err)
	}
	r, cancel, err := newRequest(ctx, http.MethodPost, "http://"+address+RelayPath, q.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	r.Header.Set(RelayHeader, string(meta))
	timer := time.AfterFunc(p.idleTimeout, cancel)
	w, err := p.streams.DoRequest(r) //nolint:bodyclose // The stream closes it.
	if !timer.Stop() && err != nil {
		p.streams.CloseIdleConnections()
		return nil, &IdleTimeoutError{timeout: p.idleTimeout}
	}
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if w.StatusCode != http.StatusOK {
		defer cancel()
		return nil, readStatusError(w)
	}
	return newHTTPStream(w.Body, cancel, p.idleTimeout, p.idleTimeout).chargeTo(r.Context()).events(q.Request, q.Offset), nil
}

func (p *PeerClient) client(c *reception.Client, address string) peer.Peer {
	return peer.NewPeerProtobufClient("http://"+address, c)
}

func (p *PeerClient) withKey(ctx context.Context) context.Context {
	h := http.Header{"Authorization": {"Bearer " + p.key}}
	signed, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx
	}
	return signed
}

// wrapError adds the operation to an error. After a timeout it closes the idle
// pooled connections, since they may be dead too.
func (p *PeerClient) wrapError(ctx context.Context, op string, c *reception.Client, err error) error {
	if ctx.Err() != nil {
		c.CloseIdleConnections()
	}
	return fmt.Errorf("PeerClient.%s: %w", op, err)
}
