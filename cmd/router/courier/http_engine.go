package courier

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"vanillalug.example"
	"vanillalug.example/reception"
)

const (
	requestIDHeader = "X-Request-Id"
	priorityHeader  = "X-Priority"
	// maxReportBytes bounds a report, and maxCacheBytes a list of cached chats or of changes to it.
	maxReportBytes    = 64 << 10
	maxCacheBytes     = 4 << 20
	maxErrorBodyBytes = 256
)

// HTTPEngine implements Engine for engines with the usual chat completions
// protocol and resumable streams.
type HTTPEngine struct {
	streams      *reception.Client
	reports      *reception.Client
	events       *reception.Client
	firstTimeout time.Duration
	idleTimeout  time.Duration
}

// NewHTTPEngine returns a client; streams has the EngineConnections. A stream is
// aborted when nothing is received for idleTimeout, or for firstTimeout before its
// first byte, and when no event is complete for firstTimeout.
func NewHTTPEngine(streams, reports, events *reception.Client, firstTimeout, idleTimeout time.Duration) *HTTPEngine {
	return &HTTPEngine{streams: streams, reports: reports, events: events, firstTimeout: firstTimeout, idleTimeout: idleTimeout}
}

// Start implements Engine.
func (e *HTTPEngine) Start(ctx context.Context, address string, q ChatCall) (Stream, error) {
	url := "http://" + address + "/v1/chat/completions"
	r, cancel, err := newRequest(ctx, http.MethodPost, url, q.Body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(requestIDHeader, q.Request)
	r.Header.Set(priorityHeader, strconv.Itoa(q.Priority))
	return e.open(r, cancel, e.firstTimeout, q.Request, 0)
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, address, request string, offset int) (Stream, error) {
	url := fmt.Sprintf("http://%s/v1/streams/%s?offset=%d", address, request, offset)
	r, cancel, err := newRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return e.open(r, cancel, e.idleTimeout, request, offset)
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, address, request string) error {
	r, cancel, err := newRequest(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+request, nil)
	if err != nil {
		return err
	}
	defer cancel()
	w, err := e.streams.DoRequest(r)
	if err != nil {
		return fmt.Errorf("HTTPEngine.Cancel: %w", err)
	}
	return w.Body.Close()
}

// open sends the request. The timeout applies to the response header and again
// to the first byte of the body.
func (e *HTTPEngine) open(r *http.Request, cancel context.CancelFunc, timeout time.Duration, request string, offset int) (Stream, error) {
	timer := time.AfterFunc(timeout, cancel)
	w, err := e.streams.DoRequest(r) //nolint:bodyclose // The stream closes it.
	if !timer.Stop() && err != nil {
		e.streams.CloseIdleConnections()
		return nil, &IdleTimeoutError{timeout: timeout}
	}
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if w.StatusCode != http.StatusOK {
		defer cancel()
		return nil, readStatusError(w)
	}
	return newHTTPStream(w.Body, cancel, timeout, e.idleTimeout).limitEventGap(e.firstTimeout).chargeTo(r.Context()).events(request, offset), nil
}

type reportBody struct {
	InFlight int   `json:"in-flight"`
	Slots    int   `json:"slots"`
	AgeMS    int64 `json:"age-ms"`
	UptimeMS int64 `json:"uptime-ms"`
	Leaving  bool  `json:"leaving"`
}

// Report implements Engine.
func (e *HTTPEngine) Report(ctx context.Context, address string) (Report, error) {
	var b reportBody
	if err := getJSON(ctx, e.reports, "http://"+address+"/report", maxReportBytes, &b); err != nil {
		return Report{}, fmt.Errorf("HTTPEngine.Report: %w", err)
	}
	return Report{
		InFlight: b.InFlight,
		Slots:    b.Slots,
		Age:      time.Duration(b.AgeMS) * time.Millisecond,
		Uptime:   time.Duration(b.UptimeMS) * time.Millisecond,
		Leaving:  b.Leaving,
	}, nil
}

type cacheEventsBody struct {
	First  uint64 `json:"first"`
	Events []struct {
		Chat   string `json:"chat"`
		Stored bool   `json:"stored"`
	} `json:"events"`
}

// CacheEvents implements Engine. A chat key that is not one of ours becomes the
// zero key, so that the other events keep their sequence numbers.
func (e *HTTPEngine) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var b cacheEventsBody
	url := fmt.Sprintf("http://%s/cache/events?after=%d", address, after)
	if err := getJSON(ctx, e.events, url, maxCacheBytes, &b); err != nil {
		return CacheEvents{}, fmt.Errorf("HTTPEngine.CacheEvents: %w", err)
	}
	out := CacheEvents{First: b.First}
	for _, ev := range b.Events {
		chat, _ := vanillalug.ParseChatKey(ev.Chat)
		out.Events = append(out.Events, CacheEvent{Chat: chat, Stored: ev.Stored})
	}
	return out, nil
}

type cachedChatsBody struct {
	Last  uint64   `json:"last"`
	Chats []string `json:"chats"`
}

// CachedChats implements Engine.
func (e *HTTPEngine) CachedChats(ctx context.Context, address string) (CachedChats, error) {
	var b cachedChatsBody
	if err := getJSON(ctx, e.events, "http://"+address+"/cache", maxCacheBytes, &b); err != nil {
		return CachedChats{}, fmt.Errorf("HTTPEngine.CachedChats: %w", err)
	}
	out := CachedChats{Last: b.Last, Chats: make([]vanillalug.ChatKey, 0, len(b.Chats))}
	for _, c := range b.Chats {
		if chat, err := vanillalug.ParseChatKey(c); err == nil {
			out.Chats = append(out.Chats, chat)
		}
	}
	return out, nil
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(ctx)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("newRequest: %w", err)
	}
	return r, cancel, nil
}

// sendError returns an *UnsentError for failures in which certainly no byte was
// sent, and other errors unchanged.
func sendError(err error) error {
	if reception.IsDialError(err) {
		return &UnsentError{cause: err}
	}
	return err
}

func readStatusError(w *http.Response) error {
	defer func() { _ = w.Body.Close() }()
	raw, _ := io.ReadAll(io.LimitReader(w.Body, maxErrorBodyBytes))
	return &StatusError{status: w.StatusCode, body: string(bytes.TrimSpace(raw))}
}

func getJSON(ctx context.Context, c *reception.Client, url string, limit int, out any) error {
	r, cancel, err := newRequest(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	defer cancel()
	w, err := c.DoRequest(r)
	if err != nil {
		if ctx.Err() != nil {
			c.CloseIdleConnections()
		}
		return err
	}
	if w.StatusCode != http.StatusOK {
		return readStatusError(w)
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := reception.ReadBody(w.Body, limit)
	if err != nil {
		return fmt.Errorf("getJSON: %s: %w", url, err)
	}
	return json.Unmarshal(raw, out)
}
