package office

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/desk"
	"vanillalug.example/receipt"
	"vanillalug.example/reception"
)

// cancelTimeout is the timeout of a cancel request to an engine.
const cancelTimeout = 2 * time.Second

// start sends an admitted request to the engine and streams the response.
func (r *Router) start(ctx context.Context, es *engineState, e vanillalug.Engine, f *vanillalug.Fleet, q courier.RelayRequest, sink Sink) Result {
	// It may have waited in the queue since it was accepted.
	if p := r.stopsBefore(chatKind(q.Model), maxChatTime); p != nil {
		if q.From != r.name {
			return AdmitterUnavailable{Reason: "leaving", NotRun: true}
		}
		return Rejected{Problem: p}
	}
	chat, _ := vanillalug.ParseChatKey(q.Chat)
	priority := 0
	if c, ok := f.Class(q.Class); ok {
		priority = c.Priority()
	}
	call := courier.ChatCall{Request: q.Request, Chat: chat, Priority: priority, Body: q.Body}
	s, err := r.engines.Start(r.whileInUse(ctx, e.Place()), e.Address(), call)
	if err != nil {
		return r.startError(ctx, es, err)
	}
	return r.stream(ctx, e, q.Request, receipt.NewReassembler(q.Request, 0), s, sink)
}

// startError returns the result of a request that could not be started. It
// distinguishes engines that did not run the request from those that may be
// running it.
func (r *Router) startError(ctx context.Context, es *engineState, err error) Result {
	var unsent *courier.UnsentError
	var status *courier.StatusError
	var evacuated *PlaceEvacuatedError
	switch {
	case ctx.Err() != nil:
		return CallerDisconnected{}
	case errors.As(err, &evacuated):
		return EngineUnavailable{Reason: reasonEvacuated}
	case errors.As(err, &unsent):
		es.health.RecordFailure()
		return EngineUnavailable{Reason: "unreachable"}
	case errors.As(err, &status):
		return statusResult(es, status)
	}
	es.health.RecordFailure()
	return Interrupted{Reason: err.Error(), Crashed: reception.ConnectionEnded(err)}
}

// statusResult returns the result of a request that an engine responded to with an error. Only a refusal for want of
// room, and one of the request itself, say that the engine hasn't run it.
func statusResult(es *engineState, e *courier.StatusError) Result {
	switch status := e.Status(); {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return EngineUnavailable{Reason: "busy"}
	case status == http.StatusRequestTimeout || status < http.StatusBadRequest || status >= http.StatusInternalServerError:
		es.health.RecordFailure()
		return Interrupted{Reason: e.Error()}
	default:
		return Rejected{Problem: vanillalug.NewProblem(status, "engine-refused", e.Body())}
	}
}

// resume continues a response that another router was streaming.
func (r *Router) resume(ctx context.Context, es *engineState, e vanillalug.Engine, q courier.RelayRequest, sink Sink) Result {
	es.handle(desk.Adopted{Request: desk.NewRequest(q.Request, q.Workspace)})
	defer es.handle(desk.Finished{ID: q.Request})
	s, err := r.engines.Resume(r.whileInUse(ctx, e.Place()), e.Address(), q.Request, q.Offset)
	if err != nil {
		return Interrupted{Reason: err.Error()}
	}
	sink.Admitted(e.Name(), 0)
	return r.stream(ctx, e, q.Request, receipt.NewReassembler(q.Request, q.Offset), s, sink)
}

// stream copies a response to the sink until it is complete.
func (r *Router) stream(ctx context.Context, e vanillalug.Engine, request string, a *receipt.Reassembler, s courier.Stream, sink Sink) Result {
	defer func() {
		if s != nil {
			s.Close()
		}
	}()
	for {
		for _, effect := range a.Handle(nextEvent(s)) {
			switch effect := effect.(type) {
			case receipt.Deliver:
				chunk := Chunk{Offset: effect.Offset, Data: effect.Data, End: effect.End}
				if err := sink.WriteChunk(chunk, buffered(s)); err != nil {
					return CallerDisconnected{}
				}
			case receipt.Drop:
				meter.Count("dropped_pieces", "reason", string(effect.Reason))
			case receipt.Complete:
				return Completed{}
			case receipt.Fail:
				// It neither goes on nor can be resumed.
				return Interrupted{Reason: "stream broke off", Crashed: s == nil && !r.evacuated(e.Place())}
			case receipt.Resume:
				if ctx.Err() != nil {
					return CallerDisconnected{}
				}
				meter.Add("stream_resumes", 1)
				s = r.reopen(ctx, e, request, effect.Offset, s)
			}
		}
	}
}

// nextEvent reads the next event of a stream; a nil stream is disconnected.
func nextEvent(s courier.Stream) receipt.Event {
	if s == nil {
		return receipt.Disconnected{}
	}
	ev, err := s.Next()
	var idle *courier.IdleTimeoutError
	switch {
	case errors.As(err, &idle):
		meter.Count("silent_connections", "kind", "engine")
		return receipt.IdleTimeout{}
	case err != nil:
		return receipt.Disconnected{}
	}
	return receipt.Chunk{Request: ev.Request, Offset: ev.Offset, Data: ev.Data, End: ev.End}
}

// reopen closes a stream and returns one that starts at the offset, or nil if
// the engine cannot resume it.
func (r *Router) reopen(ctx context.Context, e vanillalug.Engine, request string, offset int, old courier.Stream) courier.Stream {
	if old != nil {
		old.Close()
	}
	if r.evacuated(e.Place()) {
		return nil
	}
	s, err := r.engines.Resume(r.whileInUse(ctx, e.Place()), e.Address(), request, offset)
	if err != nil {
		return nil
	}
	return s
}

// bufferedStream reports whether the next event is already buffered.
type bufferedStream interface{ Buffered() bool }

func buffered(s courier.Stream) bool {
	b, ok := s.(bufferedStream)
	return ok && b.Buffered()
}

// cancel cancels the request at the engine after its caller disconnected.
func (r *Router) cancel(engine, request string) {
	f := r.Fleet()
	if f == nil {
		return
	}
	e, ok := f.Engine(engine)
	if !ok {
		return
	}
	ctx, done := detachedContext(cancelTimeout)
	defer done()
	if err := r.engines.Cancel(ctx, e.Address(), request); err != nil {
		meter.Add("cancel_failures", 1)
	}
}
