package depot

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"vanillalug.example/reception"
)

// maxResponseBytes is the maximum number of bytes read from one response.
const maxResponseBytes = 8 << 20

// Doer sends HTTP requests; httpc.Service is one.
type Doer interface {
	DoRequest(r *http.Request) (*http.Response, error)
}

// Client implements Table, Objects and VMs over HTTP.
type Client struct {
	doer    Doer
	baseURL string
	key     string

	mu      sync.Mutex
	vms     []VM
	vmsETag string
}

// NewClient returns a client of the platform at an IP address and port.
func NewClient(doer Doer, address, key string) *Client {
	return &Client{doer: doer, baseURL: "http://" + address, key: key}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var b RowBody
	err := c.call(ctx, "Get", key, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &b)
	return b.Row(), err
}

// Write implements Table.
func (c *Client) Write(ctx context.Context, writes []Write) ([]Result, error) {
	var b ResultsBody
	err := c.call(ctx, "Write", "", http.MethodPost, "/table/write", writesBody(writes), &b)
	if err != nil {
		return nil, err
	}
	if len(b.Results) != len(writes) {
		cause := fmt.Errorf("%d results for %d writes", len(b.Results), len(writes))
		return nil, NewUnavailableError("Write", true, cause)
	}
	out := make([]Result, 0, len(writes))
	for _, r := range b.Results {
		out = append(out, r.Result())
	}
	return out, nil
}

// Transact implements Table.
func (c *Client) Transact(ctx context.Context, writes []Write) error {
	return c.call(ctx, "Transact", "", http.MethodPost, "/table/transact", writesBody(writes), nil)
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var b RowsBody
	err := c.call(ctx, "List", prefix, http.MethodGet, "/table/rows?"+q.Encode(), nil, &b)
	out := make([]Row, 0, len(b.Rows))
	for _, r := range b.Rows {
		out = append(out, r.Row())
	}
	return out, err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.exchange(ctx, "GetObject", key, http.MethodGet, "/objects/"+key, nil)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := c.exchange(ctx, "PutObject", key, http.MethodPut, "/objects/"+key, value)
	return err
}

// ListVMs implements VMs. The list is transferred only when it has changed.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, err := c.request(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("Client.ListVMs: %w", err)
	}
	if c.vmsETag != "" {
		r.Header.Set("If-None-Match", c.vmsETag)
	}
	status, header, raw, err := c.send("ListVMs", r)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return c.vms, nil
	}
	if err := responseError("ListVMs", "", status, raw); err != nil {
		return nil, err
	}
	var b VMsBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, NewUnavailableError("ListVMs", true, err)
	}
	c.vms = make([]VM, 0, len(b.VMs))
	for _, v := range b.VMs {
		c.vms = append(c.vms, NewVM(v.Name, v.Role, v.Address, v.Place, v.Leaving))
	}
	c.vmsETag = header.Get("ETag")
	return c.vms, nil
}

func writesBody(writes []Write) WritesBody {
	b := WritesBody{Writes: make([]WriteBody, 0, len(writes))}
	for _, w := range writes {
		b.Writes = append(b.Writes, NewWriteBody(w))
	}
	return b
}

// call sends in and decodes the response into out, both as JSON; either may be
// nil.
func (c *Client) call(ctx context.Context, op, key, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("Client.%s: %w", op, err)
		}
		body = raw
	}
	raw, err := c.exchange(ctx, op, key, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return NewUnavailableError(op, true, err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, op, key, method, path string, body []byte) ([]byte, error) {
	r, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, fmt.Errorf("Client.%s: %w", op, err)
	}
	status, _, raw, err := c.send(op, r)
	if err != nil {
		return nil, err
	}
	return raw, responseError(op, key, status, raw)
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method != http.MethodGet {
		// Without GetBody the transport never retries a write.
		r.GetBody = nil
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	return r, nil
}

// send sends a request and reads the response.
func (c *Client) send(op string, r *http.Request) (status int, header http.Header, raw []byte, err error) {
	w, err := c.doer.DoRequest(r)
	if err != nil {
		return 0, nil, nil, NewUnavailableError(op, !reception.IsDialError(err), err)
	}
	defer func() { _ = w.Body.Close() }()
	raw, err = reception.ReadBody(w.Body, maxResponseBytes)
	if err != nil {
		return 0, nil, nil, NewUnavailableError(op, true, err)
	}
	return w.StatusCode, w.Header, raw, nil
}

func responseError(op, key string, status int, raw []byte) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return NewNotFoundError(key)
	case http.StatusConflict:
		var b ConflictBody
		_ = json.Unmarshal(raw, &b)
		return NewConflictError(b.Key)
	case http.StatusTooManyRequests:
		return NewUnavailableError(op, false, fmt.Errorf("status %d", status))
	}
	return NewUnavailableError(op, true, fmt.Errorf("status %d", status))
}
