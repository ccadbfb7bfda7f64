package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/platform"
)

const (
	// maxStrayResponses is how many responses to other requests are skipped.
	maxStrayResponses = 2
	maxStrayBytes     = 1 << 20
)

// unprovenResponseError is returned for a response that can't be told to be the target's response to the
// request: another program may have written it at the target's address.
type unprovenResponseError struct{ status int }

// Error implements error.
func (e *unprovenResponseError) Error() string {
	return "the target didn't prove that it wrote the response, status " + strconv.Itoa(e.status)
}

// readResponseHead reads the head of the response to this request. It skips responses to other
// requests; then stray is true and the connection must not be reused. It returns an
// *unprovenResponseError if what came may not be the target's.
func (t *transaction) readResponseHead(conn *channel.Conn, u *upstream) (response *http.Response, stray bool, err error) {
	var unproven error
	for range maxStrayResponses + 1 {
		response, err = t.readHead(conn)
		if err != nil {
			return nil, stray, cmp.Or(unproven, err)
		}
		meta := platform.ReadResponse(response)
		if meta.ID() == t.req.ID() {
			return t.acceptHead(u, response, stray)
		}
		t.g.log.Warn("a response to another request", "request", t.req.ID(), "answer", meta.ID(),
			"target", t.target, "status", meta.Status())
		if meta.ID() == "" {
			unproven = &unprovenResponseError{status: meta.Status()}
		} else {
			t.g.observeState(u, meta, t.req.ID())
		}
		if meta.ID() == "" && !conn.Reused() && !stray {
			// There was no earlier request to which the target may have responded.
			return nil, stray, unproven
		}
		stray = true
		if err := discardBody(response.Body); err != nil {
			return nil, stray, cmp.Or(unproven, err)
		}
	}
	return nil, stray, errors.New("transaction.readResponseHead: only responses to other requests")
}

// acceptHead returns the head of a response to this request, unless it is a success without proof.
func (t *transaction) acceptHead(u *upstream, response *http.Response, stray bool) (*http.Response, bool, error) {
	meta := platform.ReadResponse(response)
	if meta.Unproven() {
		t.g.log.Warn("a success without proof", "request", t.req.ID(), "target", t.target, "status", meta.Status())
		return nil, stray, &unprovenResponseError{status: meta.Status()}
	}
	t.g.observeState(u, meta, t.req.ID())
	return response, stray, nil
}
