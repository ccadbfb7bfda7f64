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

// ResultEvent is the name of the server-sent events that carry a ResultBody.
const ResultEvent = "verdict"

// ResultBody is the JSON form of a result that the admitting router sends on the
// stream to the router that relayed the request.
type ResultBody struct {
	Kind        string              `json:"kind"`
	Engine      string              `json:"engine,omitempty"`
	Speculative bool                `json:"inherit,omitempty"`
	WaitMS      int64               `json:"wait-ms,omitempty"`
	Reason      string              `json:"reason,omitempty"`
	NotRun      bool                `json:"unsent,omitempty"`
	Problem     *vanillalug.Problem `json:"problem,omitempty"`
	Crashed     bool                `json:"crashed,omitempty"`
	Loads       []courier.Load      `json:"loads,omitempty"`
}

// The kinds of results. Waiting and admitted are not final.
const (
	kindQueued              = "waiting"
	kindAdmitted            = "admitted"
	kindRedirected          = "cached"
	kindSpilled             = "spilled"
	kindEngineUnavailable   = "engine-out"
	kindAdmitterUnavailable = "admitter-out"
	kindRejected            = "refused"
	kindInterrupted         = "broken"
)

// NewResultBody returns the body of a final result, or false if the result is not
// sent.
func NewResultBody(v Result) (ResultBody, bool) {
	switch v := v.(type) {
	case Redirected:
		return ResultBody{Kind: kindRedirected, Engine: v.Engine, Speculative: v.Speculative}, true
	case Spilled:
		return ResultBody{Kind: kindSpilled, Engine: v.Engine}, true
	case EngineUnavailable:
		return ResultBody{Kind: kindEngineUnavailable, Reason: v.Reason}, true
	case AdmitterUnavailable:
		return ResultBody{Kind: kindAdmitterUnavailable, Reason: v.Reason, NotRun: v.NotRun}, true
	case Rejected:
		return ResultBody{Kind: kindRejected, Problem: v.Problem}, true
	case Interrupted:
		return ResultBody{Kind: kindInterrupted, Reason: v.Reason, Crashed: v.Crashed}, true
	}
	return ResultBody{}, false
}

// NewQueuedBody returns the body that reports that a request is queued.
func NewQueuedBody() ResultBody { return ResultBody{Kind: kindQueued} }

// NewAdmittedBody returns the body that reports that a request is admitted.
func NewAdmittedBody(engine string, waited time.Duration) ResultBody {
	return ResultBody{Kind: kindAdmitted, Engine: engine, WaitMS: waited.Milliseconds()}
}

// result returns the result of the body, or nil if it is not final. It reports
// queued and admitted requests to the sink.
func (b ResultBody) result(sink Sink) Result {
	switch b.Kind {
	case kindQueued:
		sink.Queued()
		return nil
	case kindAdmitted:
		sink.Admitted(b.Engine, time.Duration(b.WaitMS)*time.Millisecond)
		return nil
	case kindRedirected:
		return Redirected{Engine: b.Engine, Speculative: b.Speculative}
	case kindSpilled:
		return Spilled{Engine: b.Engine}
	case kindEngineUnavailable:
		return EngineUnavailable{Reason: b.Reason}
	case kindAdmitterUnavailable:
		return AdmitterUnavailable{Reason: b.Reason, NotRun: b.NotRun}
	case kindRejected:
		if b.Problem != nil {
			return Rejected{Problem: b.Problem}
		}
	}
	return Interrupted{Reason: b.Reason, Crashed: b.Crashed}
}

// relay sends the request to the admitting router at the address and streams the
// response from it. It is canceled when the router is found to be gone.
func (r *Router) relay(ctx context.Context, name, address string, q courier.RelayRequest, sink Sink) Result {
	ctx, done := context.WithCancel(ctx)
	defer done()
	gone, end := r.relays.add(name, done)
	defer end()
	q.Loads = r.loadsFor(q)
	v := r.streamRelay(ctx, address, q, sink)
	if _, disconnected := v.(CallerDisconnected); disconnected && gone() {
		return AdmitterUnavailable{Reason: "gone"}
	}
	return v
}

func (r *Router) streamRelay(ctx context.Context, address string, q courier.RelayRequest, sink Sink) Result {
	s, err := r.peers.Relay(ctx, address, q)
	if err != nil {
		return r.relayStartError(ctx, err)
	}
	defer s.Close()
	a := receipt.NewReassembler(q.Request, q.Offset)
	for {
		ev, err := s.Next()
		if err != nil {
			return r.relayError(ctx, err)
		}
		if ev.Name == ResultEvent {
			v := r.handleResult(ev.Data, sink)
			if v != nil {
				return v
			}
			continue
		}
		if v := r.relayChunk(a, ev, buffered(s), sink); v != nil {
			return v
		}
	}
}

func (r *Router) handleResult(data []byte, sink Sink) Result {
	var b ResultBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Interrupted{Reason: "verdict: " + err.Error()}
	}
	r.recordLoads(b.Loads)
	return b.result(sink)
}

// relayChunk writes one chunk to the sink. It returns nil if more will follow. A
// missing chunk interrupts the relay, and the response is resumed.
func (r *Router) relayChunk(a *receipt.Reassembler, ev courier.Event, more bool, sink Sink) Result {
	chunk := receipt.Chunk{Request: ev.Request, Offset: ev.Offset, Data: ev.Data, End: ev.End}
	for _, effect := range a.Handle(chunk) {
		switch effect := effect.(type) {
		case receipt.Deliver:
			c := Chunk{Offset: effect.Offset, Data: effect.Data, End: effect.End}
			if err := sink.WriteChunk(c, more); err != nil {
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

func (r *Router) relayStartError(ctx context.Context, err error) Result {
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
	return r.relayError(ctx, err)
}

func (r *Router) relayError(ctx context.Context, err error) Result {
	var idle *courier.IdleTimeoutError
	switch {
	case ctx.Err() != nil:
		return CallerDisconnected{}
	case errors.As(err, &idle):
		meter.Count("silent_connections", "kind", "peer")
		return AdmitterUnavailable{Reason: "silent"}
	case errors.Is(err, io.EOF):
		return AdmitterUnavailable{Reason: "connection lost"}
	}
	return AdmitterUnavailable{Reason: "connection failed"}
}
