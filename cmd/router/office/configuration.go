package office

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/delivery"
	"vanillalug.example/depot"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
	"vanillalug.example/register"
)

// fetchTimeout is how long a response may take to begin, and how long it may stop
// arriving: a large document takes longer over a narrow link.
const fetchTimeout = 2 * time.Second

// peerDocumentTime is how long a peer has to deliver a document before the object store is asked too.
const peerDocumentTime = 500 * time.Millisecond

// ReadHead reads the head of the fleet document from the platform's table.
func (r *Router) ReadHead(time.Time) {
	ctx, done := detachedContext(fetchTimeout)
	defer done()
	row, err := r.table.Get(ctx, register.HeadKey)
	var missing *depot.NotFoundError
	if errors.As(err, &missing) {
		return
	}
	if err != nil {
		meter.Add("head_read_failures", 1)
		return
	}
	var record register.Record
	if err := json.Unmarshal(row.Value(), &record); err != nil {
		meter.Add("head_read_failures", 1)
		return
	}
	r.applyRegister(r.register.Handle(register.HeadRead{Head: record.Head()}))
}

func (r *Router) applyRegister(effects []register.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case register.Fetch:
			go r.fetchDocument(e)
		case register.Activated:
			r.handleActivated(e)
		case register.LevelUnsupported:
			r.log.Error("rules level of the fleet document is not supported; rejecting new requests",
				"version", e.Head.Version(), "rules-level", e.Level, "levels", r.levels.String())
		case register.Rejected:
			meter.Add("documents_rejected", 1)
			r.log.Error("rejected a fleet document", "version", e.Head.Version(), "error", e.Err)
		}
	}
}

func (r *Router) handleActivated(e register.Activated) {
	meter.Add("documents_in_force", 1)
	r.log.Info("fleet document activated", "version", e.Head.Version(), "digest", e.Head.Digest()[:12],
		"rules-level", e.Fleet.RulesLevel())
	r.refreshOwners()
	r.applyEvacuations()
	r.PollTargets(r.clock.Now())
}

// fetchDocument fetches a document from the peer that has it, and from the object store if the peer
// fails or takes long.
func (r *Router) fetchDocument(e register.Fetch) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	call, done := reception.WithIdleTimeout(ctx, fetchTimeout, fetchTimeout)
	defer done()
	fromPeer := make(chan bool, 1)
	go func() { fromPeer <- e.Peer != "" && r.fetchFromPeer(call, e.Peer, e.Head) }()
	if r.peerDelivers(call, fromPeer) {
		return
	}
	if e.Head.Digest() != "" && r.fetchFromStore(ctx, e.Head) || <-fromPeer {
		return
	}
	r.applyRegister(r.register.Handle(register.FetchFailed{Head: e.Head}))
}

// peerDelivers waits for the result of a call to a peer, for peerDocumentTime and then as long as the
// reply arrives in time. A result that it received and that is false is put back.
func (r *Router) peerDelivers(call context.Context, result chan bool) bool {
	start := r.clock.Now()
	t := time.NewTimer(peerDocumentTime)
	defer t.Stop()
	for {
		select {
		case delivered := <-result:
			if !delivered {
				result <- false
			}
			return delivered
		case <-t.C:
		}
		p := reception.Progress(call)
		if !delivery.OnCourse(r.clock.Now().Sub(start), delivery.Progress{Received: p.Received, Total: p.Total, For: p.Since}) {
			return false
		}
		t.Reset(peerDocumentTime / 4)
	}
}

// fetchFromStore fetches a document from the object store. It reports whether the store had it.
func (r *Router) fetchFromStore(ctx context.Context, head register.Head) bool {
	ctx, done := reception.WithIdleTimeout(ctx, fetchTimeout, fetchTimeout)
	defer done()
	text, err := r.objects.GetObject(ctx, register.DocumentKey(head.Digest()))
	if err != nil {
		meter.Add("document_fetch_failures", 1)
		return false
	}
	r.applyRegister(r.register.Handle(register.Fetched{Head: head, Text: text}))
	return true
}

func (r *Router) fetchFromPeer(ctx context.Context, name string, want register.Head) bool {
	m, ok := r.roster.Peer(name)
	if !ok {
		return false
	}
	w, err := r.peers.Document(ctx, m.Address())
	if err != nil || w.GetHead().GetVersion() < want.Version() {
		return false
	}
	fetched := register.Fetched{Head: peer.RegisterHead(w.GetHead()), Text: w.GetText()}
	r.applyRegister(r.register.Handle(fetched))
	return true
}

// syncFromPeer fetches the document from a peer that has a newer version.
func (r *Router) syncFromPeer(ctx context.Context, name string) {
	meter.Add("catch_ups", 1)
	ctx, done := reception.WithIdleTimeout(ctx, fetchTimeout, fetchTimeout)
	defer done()
	r.fetchFromPeer(ctx, name, r.register.Head())
}

// Document returns the head and the text of the active fleet document.
func (r *Router) Document() (register.Head, []byte) {
	return r.register.Head(), r.register.Text()
}
