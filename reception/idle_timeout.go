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
	timer     *time.Timer
	idle      time.Duration
	receiving atomic.Bool
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
		if t.receiving.Load() {
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
	return t != nil && t.receiving.Load()
}

func idleTimerOf(ctx context.Context) *idleTimer {
	t, _ := ctx.Value(idleTimerKey{}).(*idleTimer)
	return t
}

// received restarts the timeout. A nil idleTimer does nothing.
func (t *idleTimer) received() {
	if t == nil {
		return
	}
	t.receiving.Store(true)
	t.timer.Reset(t.idle)
}
