package reception

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"vanillalug.example/intake"
)

const (
	// firstBodyBytes is the buffer that a body begins with, unless it is shorter; most bodies fit.
	firstBodyBytes = 16 << 10
	bodyGrowth     = 2
)

// BodyRefusedError says that a body was not read to its end, as its client sent too slowly or memory
// was short. The request has not run.
type BodyRefusedError struct {
	slow    bool
	evicted bool
	reason  intake.Reason
}

// Slow reports whether the client sent too slowly.
func (e *BodyRefusedError) Slow() bool { return e.slow }

// Short reports whether there is no room for the body, although its client sends. A client whose body
// was given up to make room for others had made no progress.
func (e *BodyRefusedError) Short() bool { return e.reason == intake.ReasonShort && !e.evicted }

// Error implements error.
func (e *BodyRefusedError) Error() string {
	if e.slow {
		return "the body arrives too slowly"
	}
	return fmt.Sprintf("the body was given up: %s", e.reason)
}

// bodyReader reads the body of a request. What has arrived is charged to the account of the
// server's Intake, if it has one.
type bodyReader struct {
	conn     *heldConn
	request  *http.Request
	in       io.Reader
	limit    int64
	deadline time.Time
	begin    time.Time
	buffer   []byte
}

// ReadRequestBody reads the body of a request of a Server up to its end. A body over the limit, if
// limit isn't 0, is an *http.MaxBytesError, one that doesn't arrive by the deadline, if that isn't
// zero, an os.ErrDeadlineExceeded, and one that is given up a *BodyRefusedError.
func ReadRequestBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	b := &bodyReader{conn: heldConnOf(r), request: r, in: r.Body, limit: limit, deadline: deadline, begin: time.Now()}
	if limit > 0 && r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if limit > 0 {
		b.in = http.MaxBytesReader(w, r.Body, limit)
	}
	controller := http.NewResponseController(w)
	if err := b.limitTime(controller); err != nil {
		return nil, err
	}
	if b.conn == nil {
		return b.readAll(controller)
	}
	b.conn.phase.Store(phaseBody)
	body, err := b.readAll(controller)
	b.conn.phase.Store(phaseHandler)
	if reason := b.conn.holder.Evicted(); reason != "" {
		return nil, &BodyRefusedError{evicted: true, reason: reason}
	}
	b.conn.bodyRead.Store(err == nil)
	return body, err
}

// readAll reads up to the end and lifts the deadline.
func (b *bodyReader) readAll(controller *http.ResponseController) ([]byte, error) {
	body, err := b.read(controller)
	if err != nil {
		return nil, err
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}

// read reads up to the end, or up to the stated length.
func (b *bodyReader) read(controller *http.ResponseController) ([]byte, error) {
	n := 0
	for {
		if n == len(b.buffer) && int64(n) == b.request.ContentLength {
			return b.buffer, nil
		}
		if n == len(b.buffer) && !b.grow() {
			return nil, &BodyRefusedError{reason: intake.ReasonShort}
		}
		if err := b.checkProgress(controller, n); err != nil {
			return nil, err
		}
		read, err := b.in.Read(b.buffer[n:])
		n += read
		if err == io.EOF { //nolint:errorlint // readers return it as it is
			return b.end(n)
		}
		if err != nil {
			return nil, b.failure(err, n)
		}
	}
}

func (b *bodyReader) end(n int) ([]byte, error) {
	if b.request.ContentLength > int64(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return b.buffer[:n], nil
}

// grow enlarges the buffer, but not beyond the stated length. It returns false if memory is short.
func (b *bodyReader) grow() bool {
	size := max(firstBodyBytes, bodyGrowth*len(b.buffer))
	if length := b.request.ContentLength; length >= 0 {
		size = min(size, int(length))
	}
	if b.conn != nil && !b.conn.grow(intake.Body, int64(size), time.Now()) {
		return false
	}
	larger := make([]byte, size)
	copy(larger, b.buffer)
	if b.conn != nil {
		b.conn.holder.Shrink(intake.Body, int64(len(b.buffer)))
	}
	b.buffer = larger
	return true
}

// limitTime sets the deadline of the whole body.
func (b *bodyReader) limitTime(controller *http.ResponseController) error {
	err := controller.SetReadDeadline(b.deadline)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// checkProgress ends a body whose rate is too low, and makes the next read end when it becomes so.
func (b *bodyReader) checkProgress(controller *http.ResponseController, n int) error {
	if b.conn == nil {
		return nil
	}
	until, bounded := b.slowAt(n)
	if bounded && (b.deadline.IsZero() || until.Before(b.deadline)) {
		if err := controller.SetReadDeadline(until); err != nil {
			return err
		}
	}
	if reason := b.conn.holder.Evicted(); reason != "" {
		return &BodyRefusedError{evicted: true, reason: reason}
	}
	return nil
}

// slowAt returns when the rate of the body is too low, if no more than n bytes arrive.
func (b *bodyReader) slowAt(n int) (at time.Time, bounded bool) {
	limits := b.conn.intake.account.Limits()
	if limits.BodyRate == 0 {
		return time.Time{}, false
	}
	earned := time.Duration(n) * time.Second / time.Duration(limits.BodyRate)
	return b.begin.Add(max(limits.BodyGrace, earned)), true
}

// failure returns the error of a body that broke off.
func (b *bodyReader) failure(err error, n int) error {
	if b.conn == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if at, bounded := b.slowAt(n); bounded && !time.Now().Before(at) {
		return &BodyRefusedError{slow: true}
	}
	return err
}
