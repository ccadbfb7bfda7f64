package stage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// SetFaults sets the fault switches of a stand-in, given as JSON.
func (s *Harness) SetFaults(name, switches string) error { return s.Post(name, "/faults", switches) }

// Post sends a POST request with a JSON body to a process. A status of 300 or
// above is an error.
func (s *Harness) Post(name, path, body string) error {
	w, err := http.Post("http://"+s.Address(name)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("Stage.Post: %s: %w", name, err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode >= http.StatusMultipleChoices {
		raw, _ := io.ReadAll(w.Body)
		return fmt.Errorf("Stage.Post: %s: status %d: %s", name, w.StatusCode, raw)
	}
	return nil
}

// Get returns the response body of a GET request to a process. A status of 300
// or above is an error.
func (s *Harness) Get(name, path string) ([]byte, error) {
	w, err := http.Get("http://" + s.Address(name) + path)
	if err != nil {
		return nil, fmt.Errorf("Stage.Get: %s: %w", name, err)
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	if err == nil && w.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("Stage.Get: %s: status %d: %s", name, w.StatusCode, raw)
	}
	return raw, err
}

// AwaitReady waits until the status lists every router as ready.
func (s *Harness) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		out, err := s.RunOperatorCommand(ctx, "status", "-json")
		if err == nil && strings.Count(out, `"ready": true`) == s.cfg.routers {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("Stage.AwaitReady: %w: %s", errors.Join(err, ctx.Err()), out)
		case <-time.After(10 * pollInterval):
		}
	}
}

// await waits until the process responds to HTTP requests.
func (s *Harness) await(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		w, err := http.Get("http://" + s.Address(name) + "/healthz")
		if err == nil {
			return w.Body.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("Stage.await: %s does not listen: %w", name, err)
		case <-time.After(pollInterval):
		}
	}
}
