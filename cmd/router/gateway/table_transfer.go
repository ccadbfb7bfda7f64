package gateway

import (
	"bytes"
	"compress/gzip"
	"fmt"

	"golang.org/x/time/rate"

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
	compressed, err := active.compress()
	if err != nil {
		g.log.Error("cannot compress the routing table", "version", active.table.Version(), "error", err)
		return
	}
	if r.Starting || g.tableSends.AllowN(g.clock.Now(), min(len(compressed), tableSendBurst)) {
		reply.CompressedPlan = compressed
	}
}

// applyPeerTable activates the routing table of a reply, if it has one.
func (g *Gateway) applyPeerTable(reply *peer.GetBeliefsReply, source string) {
	raw := reply.Plan
	if len(reply.CompressedPlan) > 0 {
		var err error
		if raw, err = decompress(reply.CompressedPlan); err != nil {
			g.log.Error("cannot read a peer's routing table", "source", source, "error", err)
			return
		}
	}
	if len(raw) == 0 {
		countTableTransfer(tableFromPeer, "none", 0)
		return
	}
	countTableTransfer(tableFromPeer, "whole", len(reply.Plan)+len(reply.CompressedPlan))
	g.applyTable(&activeTable{raw: raw, compressed: reply.CompressedPlan, revision: planRevision(reply)}, source)
	if !g.table.Load().includes(planRevision(reply)) || !g.evacuations.completeAt(planRevision(reply)) {
		return
	}
	g.watchers.table.advance(planRevision(reply))
	if len(raw) >= largeTable {
		g.watchers.table.cancelPoll()
	}
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
