package handlers

import (
	"net/http"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

// OperatorAPI serves the HTTP API for operators.
type OperatorAPI struct {
	router   *office.Router
	key      string
	shutdown func()
}

// NewOperatorAPI returns the handlers of the operator listener. The function
// shutdown is called when an operator drains the router.
func NewOperatorAPI(router *office.Router, key string, shutdown func()) *OperatorAPI {
	return &OperatorAPI{router: router, key: key, shutdown: shutdown}
}

// Register adds the handlers to a server. Health, readiness and metrics need
// no key.
func (o *OperatorAPI) Register(s *reception.Server) {
	s.Handle(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	s.Handle(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeReady(w, o.router)
	})
	s.Handle(http.MethodGet, "/metrics", func(w http.ResponseWriter, _ *http.Request) { meter.Write(w) })
	s.Handle(http.MethodGet, "/status", o.requireKey(o.status))
	s.Handle(http.MethodPost, "/drain", o.requireKey(o.drain))
}

func (o *OperatorAPI) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !reception.Authenticated(r, o.key) {
			http.Error(w, "wrong operator key", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (o *OperatorAPI) status(w http.ResponseWriter, r *http.Request) {
	b := reception.FleetStatusBody{From: o.router.Name()}
	for _, m := range o.router.FleetStatus(r.Context()) {
		b.Routers = append(b.Routers, routerStatus(m))
	}
	reception.WriteJSON(w, http.StatusOK, b)
}

func routerStatus(m office.MemberStatus) reception.RouterStatusBody {
	b := reception.RouterStatusBody{
		Name:        m.Member.Name(),
		Place:       m.Member.Place(),
		Address:     m.Member.Address(),
		Member:      m.Member.State().String(),
		Incarnation: m.Member.Incarnation(),
	}
	if m.Err != nil {
		b.Error = m.Err.Error()
		return b
	}
	s := m.Status
	b.Answered = true
	b.Build = s.GetBuild()
	b.Version = s.GetHead().GetVersion()
	b.Digest = s.GetHead().GetDigest()
	b.LatestKnown = s.GetKnown().GetVersion()
	b.RulesLevel = int(s.GetRulesLevel())
	b.LowestLevel = int(s.GetLowestLevel())
	b.HighestLevel = int(s.GetHighestLevel())
	b.UnsupportedLevel = int(s.GetUnfitLevel())
	b.ActiveMS = int64(s.GetInForceMs())
	b.Ready = s.GetReady()
	b.State = s.GetState()
	b.OpenRequests = int(s.GetOpenRequests())
	b.EvacuatedPlaces = evacuatedPlaces(s.GetEvacuations())
	return b
}

// evacuatedPlaces returns nil if the router doesn't state which places are evacuated.
func evacuatedPlaces(e *peer.Evacuations) []reception.EvacuatedPlaceBody {
	if e == nil {
		return nil
	}
	out := []reception.EvacuatedPlaceBody{}
	for _, p := range e.GetPlaces() {
		b := reception.EvacuatedPlaceBody{Place: p.GetPlace(), InFlight: int(p.GetInFlight())}
		if p.EvacuatedMs != nil {
			ms := int64(p.GetEvacuatedMs())
			b.EvacuatedMS = &ms
		}
		out = append(out, b)
	}
	return out
}

func (o *OperatorAPI) drain(w http.ResponseWriter, _ *http.Request) {
	o.shutdown()
	w.WriteHeader(http.StatusAccepted)
}
