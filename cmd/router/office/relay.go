package office

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/receipt"
)

// VerdictEvent is the name of the events that carry a VerdictBody.
const VerdictEvent = "verdict"

// VerdictBody is how the verdict of an admitting router is written on the
// stream to the router that asked.
type VerdictBody struct {
	Kind    string              `json:"kind"`
	Engine  string              `json:"engine,omitempty"`
	Inherit bool                `json:"inherit,omitempty"`
	WaitMS  int64               `json:"wait-ms,omitempty"`
	Reason  string              `json:"reason,omitempty"`
	Unsent  bool                `json:"unsent,omitempty"`
	Problem *vanillalug.Problem `json:"problem,omitempty"`
	Loads   []courier.Load      `json:"loads,omitempty"`
}

// The kinds of verdicts. Waiting and admitted are not the last word.
const (
	kindWaiting     = "waiting"
	kindAdmitted    = "admitted"
	kindCached      = "cached"
	kindSpilled     = "spilled"
	kindEngineOut   = "engine-out"
	kindAdmitterOut = "admitter-out"
	kindRefused     = "refused"
	kindBroken      = "broken"
)

// NewVerdictBody returns the body of a last verdict, or false where nothing
// is to be written.
func NewVerdictBody(v Verdict) (VerdictBody, bool) {
	switch v := v.(type) {
	case Cached:
		return VerdictBody{Kind: kindCached, Engine: v.Engine, Inherit: v.Inherit}, true
	case Spilled:
		return VerdictBody{Kind: kindSpilled, Engine: v.Engine}, true
	case EngineOut:
		return VerdictBody{Kind: kindEngineOut, Reason: v.Reason}, true
	case AdmitterOut:
		return VerdictBody{Kind: kindAdmitterOut, Reason: v.Reason, Unsent: v.Unsent}, true
	case Refused:
		return VerdictBody{Kind: kindRefused, Problem: v.Problem}, true
	case Broken:
		return VerdictBody{Kind: kindBroken, Reason: v.Reason}, true
	}
	return VerdictBody{}, false
}

// NewWaitingBody returns the body that says that a request is queued.
func NewWaitingBody() VerdictBody { return VerdictBody{Kind: kindWaiting} }

// NewAdmittedBody returns the body that says that a request is admitted.
func NewAdmittedBody(engine string, waited time.Duration) VerdictBody {
	return VerdictBody{Kind: kindAdmitted, Engine: engine, WaitMS: waited.Milliseconds()}
}

// verdict returns the verdict of the body; nil says that more will follow.
func (b VerdictBody) verdict(sink Sink) Verdict {
	switch b.Kind {
	case kindWaiting:
		sink.Waiting()
		return nil
	case kindAdmitted:
		sink.Admitted(b.Engine, time.Duration(b.WaitMS)*time.Millisecond)
		return nil
	case kindCached:
		return Cached{Engine: b.Engine, Inherit: b.Inherit}
	case kindSpilled:
		return Spilled{Engine: b.Engine}
	case kindEngineOut:
		return EngineOut{Reason: b.Reason}
	case kindAdmitterOut:
		return AdmitterOut{Reason: b.Reason, Unsent: b.Unsent}
	case kindRefused:
		if b.Problem != nil {
			return Refused{Problem: b.Problem}
		}
	}
	return Broken{Reason: b.Reason}
}

// relay sends the request to the admitting router at the address and takes
// the answer from it. It is given up when the router is found to be gone.
func (o *Office) relay(ctx context.Context, name, address string, q courier.RelayRequest, sink Sink) Verdict {
	ctx, done := context.WithCancel(ctx)
	defer done()
	gone, end := o.relays.begin(name, done)
	defer end()
	q.Loads = o.loadsFor(q)
	v := o.relayTo(ctx, address, q, sink)
	if _, left := v.(Gone); left && gone() {
		return AdmitterOut{Reason: "gone"}
	}
	return v
}

func (o *Office) relayTo(ctx context.Context, address string, q courier.RelayRequest, sink Sink) Verdict {
	s, err := o.peers.Relay(ctx, address, q)
	if err != nil {
		return o.relayFailed(ctx, err)
	}
	defer s.Close()
	a := receipt.NewReassembler(q.Request, q.Offset)
	for {
		ev, err := s.Next()
		if err != nil {
			return o.relayBroken(ctx, err)
		}
		if ev.Name == VerdictEvent {
			v := o.parseVerdict(ev.Data, sink)
			if v != nil {
				return v
			}
			continue
		}
		if v := o.relayPiece(a, ev, buffered(s), sink); v != nil {
			return v
		}
	}
}

func (o *Office) parseVerdict(data []byte, sink Sink) Verdict {
	var b VerdictBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Broken{Reason: "verdict: " + err.Error()}
	}
	o.takeLoads(b.Loads)
	return b.verdict(sink)
}

// relayPiece takes one piece; nil says that more will follow. A piece that is
// missing breaks the relay, and the answer is resumed.
func (o *Office) relayPiece(a *receipt.Reassembler, ev courier.Event, more bool, sink Sink) Verdict {
	piece := receipt.Chunk{Request: ev.Request, Offset: ev.Offset, Data: ev.Data, End: ev.End}
	for _, effect := range a.Handle(piece) {
		switch effect := effect.(type) {
		case receipt.Deliver:
			p := Piece{Offset: effect.Offset, Data: effect.Data, End: effect.End}
			if err := sink.Piece(p, more); err != nil {
				return Gone{}
			}
		case receipt.Drop:
			meter.Count("dropped_pieces", "reason", string(effect.Reason))
		case receipt.Complete:
			return Served{}
		case receipt.Resume, receipt.Fail:
			return Broken{Reason: "a piece was lost"}
		}
	}
	return nil
}

func (o *Office) relayFailed(ctx context.Context, err error) Verdict {
	var unsent *courier.UnsentError
	var status *courier.StatusError
	switch {
	case ctx.Err() != nil:
		return Gone{}
	case errors.As(err, &unsent):
		return AdmitterOut{Reason: "unreachable", Unsent: true}
	case errors.As(err, &status) && status.Status() == http.StatusUnauthorized:
		return AdmitterOut{Reason: "wrong peer key", Unsent: true}
	}
	return o.relayBroken(ctx, err)
}

func (o *Office) relayBroken(ctx context.Context, err error) Verdict {
	var silent *courier.IdleTimeoutError
	switch {
	case ctx.Err() != nil:
		return Gone{}
	case errors.As(err, &silent):
		meter.Count("silent_connections", "kind", "peer")
		return AdmitterOut{Reason: "silent"}
	case errors.Is(err, io.EOF):
		return AdmitterOut{Reason: "connection lost"}
	}
	return AdmitterOut{Reason: "connection failed"}
}
