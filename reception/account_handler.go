package reception

import (
	"net/http"
	"time"

	"vanillalug.example/intake"
)

// accountFor wraps the handlers of a server with an Intake: a request whose head there is no room
// for is refused, and what a handler leaves of a body isn't read.
func (s *Server) accountFor(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := heldConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r) {
			c.refuseBody()
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.opts.withoutBodies && !c.bodyRead.Load() {
			c.refuseBody()
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		if !c.bodyRead.Load() {
			c.refuseBody()
		}
	})
}

// HoldResponse charges n bytes of a response that the client of the request hasn't received. It
// returns false if there is no room.
func HoldResponse(r *http.Request, n int) bool {
	c := heldConnOf(r)
	return c == nil || c.grow(intake.Response, int64(n), time.Now())
}

// ReleaseResponse takes back n bytes of HoldResponse.
func ReleaseResponse(r *http.Request, n int) {
	if c := heldConnOf(r); c != nil {
		c.holder.Shrink(intake.Response, int64(n))
	}
}

// HoldBody charges n bytes more for the body of a request, such as a copy of it. It returns false if
// there is no room.
func HoldBody(r *http.Request, n int) bool {
	c := heldConnOf(r)
	return c == nil || c.grow(intake.Body, int64(n), time.Now())
}

// ReleaseBody takes back what is held for the body of a request.
func ReleaseBody(r *http.Request) {
	if c := heldConnOf(r); c != nil {
		c.holder.Shrink(intake.Body, c.holder.Held(intake.Body))
	}
}
