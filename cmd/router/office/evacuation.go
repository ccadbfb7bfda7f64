package office

import (
	"context"
	"net/http"
	"sync"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/desk"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

// reasonEvacuated is the reason of results at engines of evacuated places.
const reasonEvacuated = "place is evacuated"

// PlaceEvacuatedError reports that the place of a target was evacuated before a call
// was sent to it.
type PlaceEvacuatedError struct{ Place string }

// Error implements error.
func (e *PlaceEvacuatedError) Error() string { return "place " + e.Place + " is evacuated" }

// evacuations holds what this router has done about the evacuated places of the active
// document. Decisions on requests ask the document itself.
type evacuations struct {
	mu sync.Mutex
	// since has the evacuated places, each with the time at which this router learned
	// of it, or the zero time if its first document said so already.
	since    map[string]time.Time
	anyKnown bool
}

// evacuated reports whether the active document says that a place is evacuated. It is
// asked again right before a request is sent, as a document may have become active
// since the engine or target was chosen.
func (r *Router) evacuated(place string) bool {
	f := r.Fleet()
	return f != nil && f.Evacuated(place)
}

// whileInUse returns a context for requests to a place, which fail with a
// *PlaceEvacuatedError if it is evacuated when their connection is open.
func (r *Router) whileInUse(ctx context.Context, place string) context.Context {
	return reception.WithConnectCheck(ctx, func() error {
		if r.evacuated(place) {
			return &PlaceEvacuatedError{Place: place}
		}
		return nil
	})
}

// applyEvacuations carries out what the active document says of evacuated places. It
// doesn't take the document as an argument: activations of two versions may be handled
// in reverse order.
func (r *Router) applyEvacuations() {
	e := &r.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	head, f := r.register.Active()
	if f == nil {
		return
	}
	inFlight := r.inFlightByPlace(f)
	r.restorePlaces(f, head.Version(), inFlight)
	r.evacuatePlaces(f, head.Version(), inFlight)
	e.anyKnown = true
	for _, es := range r.engineStates.all() {
		if engine, ok := f.Engine(es.engine); ok {
			es.setEvacuated(f.Evacuated(engine.Place()), engine.Slots())
		}
	}
	meter.SetGauge("evacuated_places", float64(len(e.since)))
	for place := range e.since {
		meter.SetGauge("evacuation_in_flight", float64(inFlight[place]), "place", place)
	}
}

// evacuatePlaces records and logs new evacuations. The caller holds evacuations.mu.
func (r *Router) evacuatePlaces(f *vanillalug.Fleet, version uint64, inFlight map[string]int) {
	e := &r.evacuations
	for _, place := range f.EvacuatedPlaces() {
		if _, known := e.since[place]; known {
			continue
		}
		if e.since == nil {
			e.since = map[string]time.Time{}
		}
		e.since[place] = time.Time{}
		if e.anyKnown {
			e.since[place] = r.clock.Now()
		}
		r.log.Warn("failure domain is evacuated", "place", place, "version", version, "in-flight", inFlight[place])
	}
}

// restorePlaces records and logs evacuations that have ended. The caller holds
// evacuations.mu.
func (r *Router) restorePlaces(f *vanillalug.Fleet, version uint64, inFlight map[string]int) {
	for place := range r.evacuations.since {
		if f.Evacuated(place) {
			continue
		}
		delete(r.evacuations.since, place)
		meter.SetGauge("evacuation_in_flight", 0, "place", place)
		r.log.Warn("failure domain is taken back", "place", place, "version", version, "in-flight", inFlight[place])
	}
}

// inFlightByPlace returns the requests that this router runs in evacuated places.
func (r *Router) inFlightByPlace(f *vanillalug.Fleet) map[string]int {
	out := map[string]int{}
	for _, e := range f.Engines() {
		if es, ok := r.engineStates.get(e.Name()); ok {
			out[e.Place()] += es.admission.Running()
		}
	}
	for _, t := range f.Targets() {
		out[t.Place()] += r.targets.requestsInFlight(t.Name())
	}
	return out
}

// evacuationStatus returns the evacuated places for the status of this router.
func (r *Router) evacuationStatus(f *vanillalug.Fleet) *peer.Evacuations {
	out := &peer.Evacuations{}
	inFlight := r.inFlightByPlace(f)
	r.evacuations.mu.Lock()
	defer r.evacuations.mu.Unlock()
	for _, place := range f.EvacuatedPlaces() {
		p := &peer.EvacuatedPlace{Place: place, InFlight: uint32(inFlight[place])}
		if since := r.evacuations.since[place]; !since.IsZero() {
			ms := uint64(max(0, r.clock.Now().Sub(since)).Milliseconds())
			p.EvacuatedMs = &ms
		}
		out.Places = append(out.Places, p)
	}
	return out
}

// setEvacuated closes or reopens the admission controller. Closing it sends the queued
// requests back, to be placed elsewhere. Only applyEvacuations calls it, under its lock.
func (es *engineState) setEvacuated(evacuated bool, slots int) {
	if es.evacuated == evacuated {
		return
	}
	es.evacuated = evacuated
	if evacuated {
		es.handle(desk.Closed{})
		return
	}
	es.handle(desk.Resized{Slots: slots})
}

// evacuatedProblem refuses a request for which there are engines or targets in
// evacuated places only.
func (r *Router) evacuatedProblem(what string) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "evacuated",
		what+" is evacuated: nothing that serves it is in use outside of evacuated places",
		vanillalug.WithRetryAfter(r.jitter(retryAfter)))
}
