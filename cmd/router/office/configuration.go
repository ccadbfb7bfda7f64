package office

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/peer"
	"vanillalug.example/register"
)

const fetchTimeout = 2 * time.Second

// ReadHead reads the head row of the platform's table.
func (o *Router) ReadHead(time.Time) {
	ctx, done := background(fetchTimeout)
	defer done()
	row, err := o.table.Get(ctx, register.HeadKey)
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
	o.carryRegister(o.register.Handle(register.HeadRead{Head: record.Head()}))
}

func (o *Router) carryRegister(effects []register.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case register.Fetch:
			go o.fetch(e)
		case register.Activated:
			o.inForce(e)
		case register.LevelUnsupported:
			o.log.Error("cannot follow the rules level of the fleet document; taking no new work",
				"version", e.Head.Version(), "rules-level", e.Level, "levels", o.levels.String())
		case register.Rejected:
			meter.Add("documents_rejected", 1)
			o.log.Error("rejected a fleet document", "version", e.Head.Version(), "error", e.Err)
		}
	}
}

func (o *Router) inForce(e register.Activated) {
	meter.Add("documents_in_force", 1)
	o.log.Info("fleet document in force", "version", e.Head.Version(), "digest", e.Head.Digest()[:12],
		"rules-level", e.Fleet.RulesLevel())
	o.refreshOwners()
	o.PollTargets(o.clock.Now())
}

// fetch gets a document from the peer that has it or from the object store,
// whichever answers.
func (o *Router) fetch(e register.Fetch) {
	ctx, done := background(fetchTimeout)
	defer done()
	if e.Peer != "" && o.fetchFromPeer(ctx, e.Peer, e.Head) {
		return
	}
	if e.Head.Digest() == "" {
		o.carryRegister(o.register.Handle(register.FetchFailed{Head: e.Head}))
		return
	}
	text, err := o.objects.GetObject(ctx, register.DocumentKey(e.Head.Digest()))
	if err != nil {
		meter.Add("document_fetch_failures", 1)
		o.carryRegister(o.register.Handle(register.FetchFailed{Head: e.Head}))
		return
	}
	o.carryRegister(o.register.Handle(register.Fetched{Head: e.Head, Text: text}))
}

func (o *Router) fetchFromPeer(ctx context.Context, name string, want register.Head) bool {
	m, ok := o.roster.Peer(name)
	if !ok {
		return false
	}
	w, err := o.peers.Document(ctx, m.Address())
	if err != nil || w.GetHead().GetVersion() < want.Version() {
		return false
	}
	fetched := register.Fetched{Head: peer.RegisterHead(w.GetHead()), Text: w.GetText()}
	o.carryRegister(o.register.Handle(fetched))
	return true
}

// catchUp fetches the document from a peer that is ahead.
func (o *Router) catchUp(ctx context.Context, name string) {
	ctx, done := context.WithTimeout(ctx, fetchTimeout)
	defer done()
	meter.Add("catch_ups", 1)
	o.fetchFromPeer(ctx, name, o.register.Head())
}

// Document returns the head and the text in force.
func (o *Router) Document() (register.Head, []byte) {
	return o.register.Head(), o.register.Text()
}
