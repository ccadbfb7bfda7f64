package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"vanillalug.example/plan"
)

// maxHeldBody is the largest body that is read whole before it is sent on, in
// bytes; what is longer is sent on as it comes.
const maxHeldBody = 1 << 20

// afterAnswer sends a target's answer on; it returns true where another target
// may be tried instead.
func (t *trip) afterAnswer(ctx context.Context, p *post, o answered, first func()) bool {
	t.ran = true
	if t.route.Kind() == plan.Streaming && o.answer.Status() == http.StatusOK {
		return t.stream(ctx, p, o, first)
	}
	first()
	body, err := io.ReadAll(io.LimitReader(o.response.Body, maxHeldBody+1))
	if len(body) > maxHeldBody {
		t.passOn(o, body)
		return false
	}
	t.finish(o, err)
	if err != nil {
		return t.afterNoAnswer(ctx, p, noAnswer{cause: fmt.Errorf("body: %w", err)})
	}
	if o.answer.Status() >= http.StatusInternalServerError {
		t.blame(p, answerWeight)
		if t.route.Retryable() && t.mayRepeat() {
			t.detail = "status " + strconv.Itoa(o.answer.Status())
			t.logAttempt("target failed", nil)
			return true
		}
	} else {
		t.served = true
		t.praise(p)
	}
	if t.answering {
		t.detail = "status " + strconv.Itoa(o.answer.Status())
		t.breakOff("target failed", nil)
	}
	if o.answer.ImpliesNotRun() {
		// Without the target's word that it did not run the request, its
		// status must not become our promise.
		t.detail = "status " + strconv.Itoa(o.answer.Status())
		t.refuse(&refusal{status: http.StatusBadGateway, reason: "target failed without saying that it did not run the request"})
		return false
	}
	t.answer(o, body)
	return false
}

// answer sends a whole answer on unchanged.
func (t *trip) answer(o answered, body []byte) {
	h := t.w.Header()
	o.answer.CopyHeaders(h)
	if bodyAllowed(t.req.Method(), o.answer.Status()) {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.w.WriteHeader(o.answer.Status())
	_, err := t.w.Write(body)
	t.logEnd(o.answer.Status(), "answered", err)
}

// passOn sends a long answer on as it comes.
func (t *trip) passOn(o answered, begun []byte) {
	h := t.w.Header()
	o.answer.CopyHeaders(h)
	if o.response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.response.ContentLength, 10))
	}
	t.w.WriteHeader(o.answer.Status())
	_, err := io.Copy(t.w, io.MultiReader(bytes.NewReader(begun), o.response.Body))
	t.finish(o, err)
	if err != nil {
		t.breakOff("body", err)
	}
	t.logEnd(o.answer.Status(), "answered", nil)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
