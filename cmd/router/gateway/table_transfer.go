package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"

	"golang.org/x/time/rate"

	"vanillalug.example/amendment"
	"vanillalug.example/peer"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
)

const (
	// tableSendRate is how many bytes of routing tables a router sends to its peers in
	// a second: its link may be narrow, and callers use it as well.
	tableSendRate rate.Limit = 512 << 10
	// tableSendBurst is how many bytes it sends at once.
	tableSendBurst = 256 << 10
)

// addTable adds the active routing table to the reply to a caller that has an older one.
// A caller that reads compressed tables gets none while this router has sent many, and
// asks another peer; it must have it when it starts.
func (g *Gateway) addTable(reply *peer.GetBeliefsReply, r *peer.GetBeliefsRequest) {
	active := g.table.Load()
	if active == nil {
		return
	}
	reply.PlanVersion = active.table.Version()
	reply.PlanRevision, reply.PlanEpoch = active.revision.Number(), active.revision.Epoch()
	if active.table.Version() <= r.PlanVersion {
		return
	}
	if !r.ReadsCompressed {
		if r.Insist || len(active.raw) < largeTable {
			reply.Plan = active.raw
		}
		return
	}
	if g.amendTable(reply, r, active) {
		return
	}
	compressed, err := active.compress()
	if err != nil {
		g.log.Error("cannot compress the routing table", "version", active.table.Version(), "error", err)
		return
	}
	if r.Starting || g.maySendTable(len(compressed)) {
		reply.CompressedPlan = compressed
	}
}

// maySendTable reports whether the router may send that many bytes of a routing table now.
func (g *Gateway) maySendTable(n int) bool {
	return g.tableSends.AllowN(g.clock.Now(), min(n, tableSendBurst))
}

// amendTable adds the difference of the active routing table from the caller's. It reports whether
// the caller's is known here, as the whole is sent otherwise.
func (g *Gateway) amendTable(reply *peer.GetBeliefsReply, r *peer.GetBeliefsRequest, active *activeTable) bool {
	if r.PlanDigest == 0 {
		return false
	}
	difference, err := active.series.From(r.PlanDigest)
	if err != nil {
		g.log.Error("cannot amend the routing table", "version", active.table.Version(), "error", err)
	}
	if difference == nil {
		return false
	}
	if r.Starting || g.maySendTable(len(difference)) {
		reply.PlanAmendment, reply.PlanBase, reply.PlanDigest = difference, r.PlanDigest, active.series.Digest()
	}
	return true
}

// tableDigest returns the digest of the active routing table's text, from which peers may send the
// difference; 0 if they must send the whole.
func (g *Gateway) tableDigest() uint64 {
	active := g.table.Load()
	if active == nil || g.amendmentFailed.Load() == active.table.Version() {
		return 0
	}
	return active.series.Digest()
}

// applyPeerTable activates the routing table of a reply, if it has one.
func (g *Gateway) applyPeerTable(reply *peer.GetBeliefsReply, source string) {
	next, err := g.readPeerTable(reply)
	if err != nil {
		countTableTransfer(tableFromPeer, "unreadable", 0)
		g.log.Error("cannot read a peer's routing table", "source", source, "version", reply.PlanVersion, "error", err)
		return
	}
	if len(next.raw) == 0 {
		countTableTransfer(tableFromPeer, "none", 0)
		return
	}
	g.applyTable(next, source)
	if !g.table.Load().includes(next.revision) || !g.evacuations.completeAt(next.revision) {
		return
	}
	g.watchers.table.advance(next.revision)
	if len(next.raw) >= largeTable {
		g.watchers.table.cancelPoll()
	}
}

// readPeerTable returns the routing table of a reply; its text is empty if there is none.
func (g *Gateway) readPeerTable(reply *peer.GetBeliefsReply) (*activeTable, error) {
	next := &activeTable{raw: reply.Plan, compressed: reply.CompressedPlan, revision: planRevision(reply)}
	var err error
	switch {
	case len(reply.PlanAmendment) > 0:
		countTableTransfer(tableFromPeer, "amendment", len(reply.PlanAmendment))
		next.difference, next.base = reply.PlanAmendment, reply.PlanBase
		next.raw, err = g.amend(reply)
	case len(reply.CompressedPlan) > 0:
		countTableTransfer(tableFromPeer, "whole", len(reply.CompressedPlan))
		next.raw, err = decompress(reply.CompressedPlan)
	case len(reply.Plan) > 0:
		countTableTransfer(tableFromPeer, "whole", len(reply.Plan))
	}
	return next, err
}

// AmendmentError says that an amendment of a routing table doesn't lead to the sender's text.
type AmendmentError struct{ want, got uint64 }

// Error implements error.
func (e *AmendmentError) Error() string {
	return fmt.Sprintf("the amended routing table has the digest %x, not %x", e.got, e.want)
}

// amend returns the text of which a reply has the difference, or nil if the one from which it differs
// is no longer known. After a failure the whole is requested.
func (g *Gateway) amend(reply *peer.GetBeliefsReply) ([]byte, error) {
	active := g.table.Load()
	if active == nil {
		return nil, nil
	}
	base := active.series.Text(reply.PlanBase)
	if base == nil {
		return nil, nil
	}
	text, err := amendment.Apply(base, reply.PlanAmendment)
	if digest := amendment.Digest(text); err == nil && digest != reply.PlanDigest {
		err = &AmendmentError{want: reply.PlanDigest, got: digest}
	}
	if err != nil {
		g.amendmentFailed.Store(active.table.Version())
		return nil, fmt.Errorf("Gateway.amend: %w", err)
	}
	return text, nil
}

// compress returns the text of the table in gzip format.
func (a *activeTable) compress() ([]byte, error) {
	a.compressMu.Lock()
	defer a.compressMu.Unlock()
	if len(a.compressed) > 0 {
		return a.compressed, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("activeTable.compress: %w", err)
	}
	if _, err := w.Write(a.raw); err != nil {
		return nil, fmt.Errorf("activeTable.compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("activeTable.compress: %w", err)
	}
	a.compressed = out.Bytes()
	return a.compressed, nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	raw, err := reception.ReadBody(r, platform.MaxRoutingTable)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return raw, nil
}
