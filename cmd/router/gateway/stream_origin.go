package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/edition"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/reception"
)

// findStreamTimeout is how long peers may take to tell where a stream began.
const findStreamTimeout = 250 * time.Millisecond

// streamKey returns the key of the stream whose first event an attempt of this caller brought.
// Another caller, or another request, has another one.
func (t *transaction) streamKey(attempt string) edition.StreamKey {
	return edition.StreamKey(hashFields(t.workspace, t.req.Host(), t.r.RequestURI, attempt))
}

// recordOrigin records where the stream begins, before its first event goes to the caller.
func (t *transaction) recordOrigin(u *upstream) {
	if t.origin != nil || u == nil {
		return
	}
	t.origin = &edition.Origin{Service: t.service, SoftwareVersion: u.target.SoftwareVersion()}
	if t.origin.SoftwareVersion == "" || t.req.LastEventID() != "" {
		return
	}
	record := edition.Record{Key: t.streamKey(t.req.ID()), Origin: *t.origin}
	t.g.streams.Add(record, t.g.clock.Now())
	t.g.addToBacklog(record)
	t.g.sendRecord(record)
}

// sendRecord sends a record to the routers that hold it.
func (g *Gateway) sendRecord(r edition.Record) {
	holders := g.holders(r.Key, edition.Copies)
	if w := g.storeWriter.Load(); w != nil && w.address.IsValid() && !slices.Contains(holders, w.address) {
		holders = append(holders, w.address)
	}
	message, err := proto.Marshal(&peer.Share{Streams: []*peer.StreamRecord{recordToProto(r)}})
	if err != nil {
		g.log.Error("cannot encode the record of a stream", "error", err)
		return
	}
	for _, a := range holders {
		if _, err := g.peers.conn.WriteToUDPAddrPort(message, a); err != nil {
			g.log.Debug("cannot send the record of a stream to a peer", "peer", a.String(), "error", err)
		}
	}
}

// holders returns the addresses of the peers that hold the record of a stream.
func (g *Gateway) holders(key edition.StreamKey, n int) []netip.AddrPort {
	peers := g.peers.reachable()
	places := make(map[string]string, len(peers))
	for name, r := range peers {
		places[name] = r.place
	}
	names := edition.Holders(key, places, n)
	out := make([]netip.AddrPort, len(names))
	for i, name := range names {
		out[i] = peers[name].address
	}
	return out
}

// resumedAttempt returns the attempt that brought the first event of the stream.
func (t *transaction) resumedAttempt() string {
	if t.req.LastEventID() != "" {
		return t.req.Resumes()
	}
	return t.req.ID()
}

// findOrigin finds out where the stream began that the request goes on with, if it does, and
// returns a rejection if that can't be known, or if the route no longer leads there.
func (t *transaction) findOrigin(ctx context.Context) *rejection {
	if t.route.Kind() != plan.Streaming || t.lastEventID == "" || t.origin != nil {
		return nil
	}
	key := t.streamKey(t.resumedAttempt())
	now := t.g.clock.Now()
	own := edition.NewAnswer(t.g.streams, t.g.softwareVersions, key, t.service, now)
	var answers []edition.Answer
	holders := t.g.holders(key, edition.Asked)
	if !own.Known {
		answers = t.g.askHolders(ctx, key, t.service, holders)
	}
	if edition.NeedsRead(own, answers) {
		t.g.readRegistry(ctx)
		own = edition.NewAnswer(t.g.streams, t.g.softwareVersions, key, t.service, t.g.clock.Now())
	}
	decision := edition.Decide(t.service, own, answers)
	if edition.NeedsStored(own, answers) {
		decision = t.decideFromStore(ctx, key, answers)
	}
	switch d := decision.(type) {
	case edition.GoOn:
		t.logOrigin(d, len(answers))
		return t.goOn(d)
	case edition.Unknown:
		meter.CountBy("streams_continued", "service", t.service, "by", "unknown")
		t.detail = fmt.Sprintf("%s, asked=%d answers=%d", d.Reason, len(holders), len(answers))
	}
	return streamRejection("unknown at which software version the stream began")
}

// goOn lets the request go to targets of the stream's origin. It returns a rejection if the route no
// longer leads there, or nil.
func (t *transaction) goOn(d edition.GoOn) *rejection {
	if !t.route.LeadsTo(d.Origin.Service) {
		return streamRejection("the stream's service is not on the route any more")
	}
	t.origin = &d.Origin
	t.service = d.Origin.Service
	return nil
}

// decideFromStore decides about a stream of which neither this router nor the peers that gave the
// answers know enough, by what the store has from before they started.
func (t *transaction) decideFromStore(ctx context.Context, key edition.StreamKey, answers []edition.Answer) edition.Decision {
	answers = append(answers, t.g.storedAnswer(ctx, t.service)...)
	answer := func() edition.Answer {
		return edition.NewAnswer(t.g.streams, t.g.softwareVersions, key, t.service, t.g.clock.Now())
	}
	decision := edition.Decide(t.service, answer(), answers)
	if _, unknown := decision.(edition.Unknown); !unknown {
		return decision
	}
	t.g.recallRecords(ctx)
	return edition.Decide(t.service, answer(), answers)
}

func (t *transaction) logOrigin(d edition.GoOn, answers int) {
	by := "only version"
	if d.Recorded {
		by = "record"
	}
	meter.CountBy("streams_continued", "service", d.Origin.Service, "by", by)
	t.g.log.Info("stream goes on", "request", t.req.ID(), "resumes", t.req.Resumes(), "service", d.Origin.Service,
		"software", d.Origin.SoftwareVersion, "by", by, "answers", answers)
}

// streamRejection rejects a request that goes on with a stream. There is no time to retry
// after: the caller can begin anew at once.
func streamRejection(reason string) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: reason}
}

// askHolders returns the answers of peers, only those that came until one had the record.
func (g *Gateway) askHolders(ctx context.Context, key edition.StreamKey, service string, holders []netip.AddrPort) []edition.Answer {
	ctx, cancel := reception.WithIdleTimeout(ctx, findStreamTimeout, findStreamTimeout)
	defer cancel()
	replies := make(chan *edition.Answer, len(holders))
	for _, a := range holders {
		go func() { replies <- g.askHolder(ctx, key, service, a) }()
	}
	var out []edition.Answer
	for range holders {
		answer := <-replies
		if answer == nil {
			continue
		}
		out = append(out, *answer)
		if answer.Known {
			break
		}
	}
	return out
}

// askHolder returns the answer of one peer, or nil.
func (g *Gateway) askHolder(ctx context.Context, key edition.StreamKey, service string, address netip.AddrPort) *edition.Answer {
	client := peer.NewBeliefsProtobufClient("http://"+address.String(), g.peerClient)
	reply, err := client.FindStream(ctx, &peer.FindStreamRequest{From: g.cfg.Name, Key: uint64(key), Service: service})
	if err != nil {
		g.log.Debug("a peer did not tell where a stream began", "peer", address.String(), "error", err)
		return nil
	}
	out := &edition.Answer{Ambiguous: reply.Ambiguous, Versions: reply.Versions, Complete: reply.Complete}
	if reply.Record != nil && reply.Record.Key == uint64(key) {
		out.Known, out.Origin = true, recordFromProto(reply.Record).Origin
	}
	return out
}

// FindStream implements peer.Beliefs: it tells a peer what this router knows of a stream.
func (g *Gateway) FindStream(_ context.Context, r *peer.FindStreamRequest) (*peer.FindStreamReply, error) {
	key := edition.StreamKey(r.Key)
	own := edition.NewAnswer(g.streams, g.softwareVersions, key, r.Service, g.clock.Now())
	reply := &peer.FindStreamReply{Ambiguous: own.Ambiguous, Versions: own.Versions, Complete: own.Complete}
	if own.Known {
		reply.Record = recordToProto(edition.Record{Key: key, Origin: own.Origin})
	}
	return reply, nil
}

// handleRecords keeps the records that a peer sent to hold.
func (g *Gateway) handleRecords(records []*peer.StreamRecord) {
	now := g.clock.Now()
	for _, r := range records {
		if r != nil {
			record := recordFromProto(r)
			g.streams.Add(record, now)
			g.addToBacklog(record)
		}
	}
}

// compatible returns the upstreams at which the stream may go on: all while none has begun.
func (t *transaction) compatible(upstreams []*upstream) []*upstream {
	if t.origin == nil {
		return upstreams
	}
	out := make([]*upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if t.origin.GoesOnAt(u.target.SoftwareVersion()) {
			out = append(out, u)
		}
	}
	return out
}

func recordToProto(r edition.Record) *peer.StreamRecord {
	return &peer.StreamRecord{Key: uint64(r.Key), Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion}
}

func recordFromProto(r *peer.StreamRecord) edition.Record {
	return edition.Record{
		Key:    edition.StreamKey(r.Key),
		Origin: edition.Origin{Service: r.Service, SoftwareVersion: r.SoftwareVersion},
	}
}
