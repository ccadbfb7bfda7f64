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
)

// cancelTimeout is how long a cancel may take.
const cancelTimeout = 2 * time.Second

// run sends an admitted request to the engine and streams the answer.
func (o *Router) run(ctx context.Context, p *post, e vanillalug.Engine, f *vanillalug.Fleet, q courier.RelayRequest, sink Sink) Result {
	chat, _ := vanillalug.ParseChatKey(q.Chat)
	priority := 0
	if c, ok := f.Class(q.Class); ok {
		priority = c.Priority()
	}
	call := courier.ChatCall{Request: q.Request, Chat: chat, Priority: priority, Body: q.Body}
	s, err := o.engines.Start(ctx, e.Address(), call)
	if err != nil {
		return o.startFailed(ctx, p, err)
	}
	return o.stream(ctx, e, q.Request, receipt.NewReassembler(q.Request, 0), s, sink)
}

// startFailed tells an engine that did not run the request from one that may
// be running it.
func (o *Router) startFailed(ctx context.Context, p *post, err error) Result {
	var unsent *courier.UnsentError
	var status *courier.StatusError
	switch {
	case ctx.Err() != nil:
		return CallerDisconnected{}
	case errors.As(err, &unsent):
		p.health.RecordFailure()
		return EngineUnavailable{Reason: "unreachable"}
	case errors.As(err, &status) && status.Status() < http.StatusInternalServerError && status.Status() != http.StatusTooManyRequests:
		return Rejected{Problem: vanillalug.NewProblem(status.Status(), "engine-refused", status.Body())}
	case errors.As(err, &status):
		return EngineUnavailable{Reason: "busy"}
	}
	p.health.RecordFailure()
	return Interrupted{Reason: err.Error()}
}

// adopt takes over an answer that another router was streaming.
func (o *Router) adopt(ctx context.Context, p *post, e vanillalug.Engine, q courier.RelayRequest, sink Sink) Result {
	p.handle(desk.Adopted{Request: desk.NewRequest(q.Request, q.Workspace)})
	defer p.handle(desk.Finished{ID: q.Request})
	s, err := o.engines.Resume(ctx, e.Address(), q.Request, q.Offset)
	if err != nil {
		return Interrupted{Reason: err.Error()}
	}
	sink.Admitted(e.Name(), 0)
	return o.stream(ctx, e, q.Request, receipt.NewReassembler(q.Request, q.Offset), s, sink)
}

// stream carries an answer into the sink until it is whole.
func (o *Router) stream(ctx context.Context, e vanillalug.Engine, request string, a *receipt.Reassembler, s courier.Stream, sink Sink) Result {
	defer func() {
		if s != nil {
			s.Close()
		}
	}()
	for {
		for _, effect := range a.Handle(nextEvent(s)) {
			switch effect := effect.(type) {
			case receipt.Deliver:
				piece := Chunk{Offset: effect.Offset, Data: effect.Data, End: effect.End}
				if err := sink.WriteChunk(piece, buffered(s)); err != nil {
					return CallerDisconnected{}
				}
			case receipt.Drop:
				meter.Count("dropped_pieces", "reason", string(effect.Reason))
			case receipt.Complete:
				return Completed{}
			case receipt.Fail:
				return Interrupted{Reason: "stream broke off"}
			case receipt.Resume:
				if ctx.Err() != nil {
					return CallerDisconnected{}
				}
				meter.Add("stream_resumes", 1)
				s = o.reopen(ctx, e, request, effect.Offset, s)
			}
		}
	}
}

// nextEvent reads the next event of a stream; a nil stream is broken.
func nextEvent(s courier.Stream) receipt.Event {
	if s == nil {
		return receipt.Disconnected{}
	}
	ev, err := s.Next()
	var silent *courier.IdleTimeoutError
	switch {
	case errors.As(err, &silent):
		meter.Count("silent_connections", "kind", "engine")
		return receipt.IdleTimeout{}
	case err != nil:
		return receipt.Disconnected{}
	}
	return receipt.Chunk{Request: ev.Request, Offset: ev.Offset, Data: ev.Data, End: ev.End}
}

// reopen closes a stream and returns one from the offset on, or nil.
func (o *Router) reopen(ctx context.Context, e vanillalug.Engine, request string, offset int, old courier.Stream) courier.Stream {
	if old != nil {
		old.Close()
	}
	s, err := o.engines.Resume(ctx, e.Address(), request, offset)
	if err != nil {
		return nil
	}
	return s
}

// bufferedStream can tell whether the next event is here already.
type bufferedStream interface{ Buffered() bool }

func buffered(s courier.Stream) bool {
	b, ok := s.(bufferedStream)
	return ok && b.Buffered()
}

// cancel ends the engine's work for a caller who has left.
func (o *Router) cancel(engine, request string) {
	f := o.Fleet()
	if f == nil {
		return
	}
	e, ok := f.Engine(engine)
	if !ok {
		return
	}
	ctx, done := background(cancelTimeout)
	defer done()
	if err := o.engines.Cancel(ctx, e.Address(), request); err != nil {
		meter.Add("cancel_failures", 1)
	}
}
