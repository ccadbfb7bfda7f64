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

// ResultEvent is the name of the events that carry a VerdictBody.
const ResultEvent = "verdict"

// ResultBody is how the verdict of an admitting router is written on the
// stream to the router that asked.
type ResultBody struct {
	Kind        string              `json:"kind"`
	Engine      string              `json:"engine,omitempty"`
	Speculative bool                `json:"inherit,omitempty"`
	WaitMS      int64               `json:"wait-ms,omitempty"`
	Reason      string              `json:"reason,omitempty"`
	NotRun      bool                `json:"unsent,omitempty"`
	Problem     *vanillalug.Problem `json:"problem,omitempty"`
	Loads       []courier.Load      `json:"loads,omitempty"`
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

// NewResultBody returns the body of a last verdict, or false where nothing
// is to be written.
func NewResultBody(v Result) (ResultBody, bool) {
	switch v := v.(type) {
	case Redirected:
		return ResultBody{Kind: kindCached, Engine: v.Engine, Speculative: v.Speculative}, true
	case Spilled:
		return ResultBody{Kind: kindSpilled, Engine: v.Engine}, true
	case EngineUnavailable:
		return ResultBody{Kind: kindEngineOut, Reason: v.Reason}, true
	case AdmitterUnavailable:
		return ResultBody{Kind: kindAdmitterOut, Reason: v.Reason, NotRun: v.NotRun}, true
	case Rejected:
		return ResultBody{Kind: kindRefused, Problem: v.Problem}, true
	case Interrupted:
		return ResultBody{Kind: kindBroken, Reason: v.Reason}, true
	}
	return ResultBody{}, false
}

// NewQueuedBody returns the body that says that a request is queued.
func NewQueuedBody() ResultBody { return ResultBody{Kind: kindWaiting} }

// NewAdmittedBody returns the body that says that a request is admitted.
func NewAdmittedBody(engine string, waited time.Duration) ResultBody {
	return ResultBody{Kind: kindAdmitted, Engine: engine, WaitMS: waited.Milliseconds()}
}

// verdict returns the verdict of the body; nil says that more will follow.
func (b ResultBody) verdict(sink Sink) Result {
	switch b.Kind {
	case kindWaiting:
		sink.Queued()
		return nil
	case kindAdmitted:
		sink.Admitted(b.Engine, time.Duration(b.WaitMS)*time.Millisecond)
		return nil
	case kindCached:
		return Redirected{Engine: b.Engine, Speculative: b.Speculative}
	case kindSpilled:
		return Spilled{Engine: b.Engine}
	case kindEngineOut:
		return EngineUnavailable{Reason: b.Reason}
	case kindAdmitterOut:
		return AdmitterUnavailable{Reason: b.Reason, NotRun: b.NotRun}
	case kindRefused:
		if b.Problem != nil {
			return Rejected{Problem: b.Problem}
		}
	}
	return Interrupted{Reason: b.Reason}
}

// relay sends the request to the admitting router at the address and takes
// the answer from it. It is given up when the router is found to be gone.
func (o *Router) relay(ctx context.Context, name, address string, q courier.RelayRequest, sink Sink) Result {
	ctx, done := context.WithCancel(ctx)
	defer done()
	gone, end := o.relays.begin(name, done)
	defer end()
	q.Loads = o.loadsFor(q)
	v := o.relayTo(ctx, address, q, sink)
	if _, left := v.(CallerDisconnected); left && gone() {
		return AdmitterUnavailable{Reason: "gone"}
	}
	return v
}

func (o *Router) relayTo(ctx context.Context, address string, q courier.RelayRequest, sink Sink) Result {
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
		if ev.Name == ResultEvent {
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

func (o *Router) parseVerdict(data []byte, sink Sink) Result {
	var b ResultBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Interrupted{Reason: "verdict: " + err.Error()}
	}
	o.takeLoads(b.Loads)
	return b.verdict(sink)
}

// relayPiece takes one piece; nil says that more will follow. A piece that is
// missing breaks the relay, and the answer is resumed.
func (o *Router) relayPiece(a *receipt.Reassembler, ev courier.Event, more bool, sink Sink) Result {
	piece := receipt.Chunk{Request: ev.Request, Offset: ev.Offset, Data: ev.Data, End: ev.End}
	for _, effect := range a.Handle(piece) {
		switch effect := effect.(type) {
		case receipt.Deliver:
			p := Chunk{Offset: effect.Offset, Data: effect.Data, End: effect.End}
			if err := sink.WriteChunk(p, more); err != nil {
				return CallerDisconnected{}
			}
		case receipt.Drop:
			meter.Count("dropped_pieces", "reason", string(effect.Reason))
		case receipt.Complete:
			return Completed{}
		case receipt.Resume, receipt.Fail:
			return Interrupted{Reason: "a piece was lost"}
		}
	}
	return nil
}

func (o *Router) relayFailed(ctx context.Context, err error) Result {
	var unsent *courier.UnsentError
	var status *courier.StatusError
	switch {
	case ctx.Err() != nil:
		return CallerDisconnected{}
	case errors.As(err, &unsent):
		return AdmitterUnavailable{Reason: "unreachable", NotRun: true}
	case errors.As(err, &status) && status.Status() == http.StatusUnauthorized:
		return AdmitterUnavailable{Reason: "wrong peer key", NotRun: true}
	}
	return o.relayBroken(ctx, err)
}

func (o *Router) relayBroken(ctx context.Context, err error) Result {
	var silent *courier.IdleTimeoutError
	switch {
	case ctx.Err() != nil:
		return CallerDisconnected{}
	case errors.As(err, &silent):
		meter.Count("silent_connections", "kind", "peer")
		return AdmitterUnavailable{Reason: "silent"}
	case errors.Is(err, io.EOF):
		return AdmitterUnavailable{Reason: "connection lost"}
	}
	return AdmitterUnavailable{Reason: "connection failed"}
}
