package courier

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"

	"vanillalug.example/reception"
)

// RequestHeader carries an id of the request to a target, which returns it in its
// response. Only connections to targets that do are reused.
const RequestHeader = "Vanillalug-Request-Id"

// idBase is the number base of request ids.
const idBase = 36

// MismatchError reports a response that may belong to another request: it has
// another request's id, or has none and came on a reused connection.
type MismatchError struct{ id string }

// ID returns the request id of the response, or "".
func (e *MismatchError) ID() string { return e.id }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response to another request, id %q", e.id)
}

// EngineConnections returns the option for connections to engines: the events of an
// engine may have no ids, so no connection serves a second stream.
func EngineConnections() reception.ClientOption { return reception.WithoutConnectionReuse() }

// verifiedClient sends requests with an id and checks that of the response.
type verifiedClient struct {
	pooled   *reception.Client
	unpooled *reception.Client

	mu sync.Mutex
	// noEcho holds the addresses of targets that return no ids.
	noEcho map[string]bool
}

func newVerifiedClient(pooled, unpooled *reception.Client) *verifiedClient {
	return &verifiedClient{pooled: pooled, unpooled: unpooled, noEcho: map[string]bool{}}
}

// do sends a request on a pooled connection, or on a new one if the target returns no
// ids. It returns a *MismatchError if the response may belong to another request.
func (c *verifiedClient) do(r *http.Request) (*http.Response, error) {
	if !c.echoes(r.URL.Host) {
		return c.unpooled.DoRequest(r)
	}
	id := strconv.FormatUint(rand.Uint64(), idBase)
	r.Header.Set(RequestHeader, id)
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	w, err := c.pooled.DoRequest(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	returned := w.Header.Get(RequestHeader)
	w.Header.Del(RequestHeader)
	c.setEchoes(r.URL.Host, returned != "")
	if returned == id || returned == "" && !reused {
		return w, nil
	}
	_ = w.Body.Close()
	c.pooled.CloseIdleConnections()
	return nil, &MismatchError{id: returned}
}

// echoes reports whether a target returns the ids of requests; true if unknown.
func (c *verifiedClient) echoes(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.noEcho[address]
}

func (c *verifiedClient) setEchoes(address string, echoes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if echoes {
		delete(c.noEcho, address)
		return
	}
	c.noEcho[address] = true
}
