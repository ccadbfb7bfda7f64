package reception

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// ResponseTimeoutError says that a response didn't begin in time, or stopped arriving.
type ResponseTimeoutError struct{ after time.Duration }

// After returns how long no byte had arrived.
func (e *ResponseTimeoutError) After() time.Duration { return e.after }

// Error implements error.
func (e *ResponseTimeoutError) Error() string { return fmt.Sprintf("nothing received for %v", e.after) }

// Timeout reports that the error is a timeout, like net.Error.
func (e *ResponseTimeoutError) Timeout() bool { return true }

// Is makes the error match context.DeadlineExceeded.
func (e *ResponseTimeoutError) Is(target error) bool { return target == context.DeadlineExceeded }

// maxTransferTime bounds a response that keeps arriving.
const maxTransferTime = 10 * time.Second

type idleTimerKey struct{}

// idleTimer cancels a request whose response doesn't arrive.
type idleTimer struct {
	timer *time.Timer
	idle  time.Duration
	// began is when the body began to arrive; nil if it hasn't.
	began    atomic.Pointer[time.Time]
	received atomic.Int64
	total    atomic.Int64
}

// WithIdleTimeout returns a context for one request of a Client. It is cancelled with an
// *ResponseTimeoutError when the body hasn't begun after first, and when then no byte
// arrives for idle. A large response over a narrow link isn't cut as long as it arrives
// within maxTransferTime.
func WithIdleTimeout(parent context.Context, first, idle time.Duration) (context.Context, context.CancelFunc) {
	limited, release := context.WithTimeout(parent, first+maxTransferTime)
	ctx, cancel := context.WithCancelCause(limited)
	t := &idleTimer{idle: idle}
	t.timer = time.AfterFunc(first, func() {
		after := first
		if t.began.Load() != nil {
			after = idle
		}
		cancel(&ResponseTimeoutError{after: after})
	})
	return context.WithValue(ctx, idleTimerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
		release()
	}
}

// Receiving reports whether the body of the response to a request with a context of
// WithIdleTimeout has begun to arrive.
func Receiving(ctx context.Context) bool {
	t := idleTimerOf(ctx)
	return t != nil && t.began.Load() != nil
}

// BodyProgress is how much of the body of a response has arrived.
type BodyProgress struct {
	// Received and Total are in bytes; a negative Total is unknown.
	Received, Total int64
	// Since is the time since the first byte arrived; 0 if none has.
	Since time.Duration
}

// Progress returns how much of the response to a request with a context of WithIdleTimeout has
// arrived.
func Progress(ctx context.Context) BodyProgress {
	t := idleTimerOf(ctx)
	if t == nil {
		return BodyProgress{}
	}
	out := BodyProgress{Received: t.received.Load(), Total: t.total.Load()}
	if began := t.began.Load(); began != nil {
		out.Since = time.Since(*began)
	}
	return out
}

func idleTimerOf(ctx context.Context) *idleTimer {
	t, _ := ctx.Value(idleTimerKey{}).(*idleTimer)
	return t
}

// expect records the length of the body. A nil idleTimer does nothing.
func (t *idleTimer) expect(total int64) {
	if t != nil {
		t.total.Store(total)
	}
}

// receive records that n bytes arrived, and restarts the timeout. A nil idleTimer does nothing.
func (t *idleTimer) receive(n int) {
	if t == nil {
		return
	}
	if t.began.Load() == nil {
		now := time.Now()
		t.began.Store(&now)
	}
	t.received.Add(int64(n))
	t.timer.Reset(t.idle)
}
