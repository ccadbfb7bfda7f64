package schedule

import (
	"sync"
	"time"
)

// System is the system Clock.
type System struct{}

// NewSystem returns the system Clock.
func NewSystem() System { return System{} }

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Every implements Clock.
func (System) Every(interval time.Duration, fn func(time.Time)) func() {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				fn(time.Now())
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// After implements Clock.
func (System) After(delay time.Duration, fn func(time.Time)) func() {
	t := time.AfterFunc(delay, func() { fn(time.Now()) })
	return func() { t.Stop() }
}
