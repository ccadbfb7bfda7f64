package desk

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/schedule"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newController(slots int) (*Controller, *schedule.Fake) {
	clock := schedule.NewFake(start)
	return New(clock, slots, WithRandom(func() float64 { return 0.5 })), clock
}

// unboundedPool returns a pool whose load limit is never reached.
func unboundedPool() Pool { return NewPool(1, 1000, 10, 1000) }

func arrive(c *Controller, id, workspace string, opts ...RequestOption) []Effect {
	return c.Handle(Arrived{Request: NewRequest(id, workspace, opts...), Pool: unboundedPool()})
}

func TestPoolLimit(t *testing.T) {
	tests := map[string]struct {
		pool Pool
		want int
	}{
		"floor":          {NewPool(10, 0, 1.25, 4), 4},
		"a quarter more": {NewPool(10, 79, 1.25, 4), 10},
		"rounded up":     {NewPool(10, 80, 1.25, 4), 11},
		"no engines":     {NewPool(0, 0, 1.25, 3), 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.pool.Limit()) })
	}
}

func TestArrival(t *testing.T) {
	tight := NewPool(2, 1, 1.25, 1)
	full := []Alternative{NewAlternative("e2", 9, 16)}
	free := []Alternative{NewAlternative("e2", 9, 16), NewAlternative("e3", 0, 16)}
	tests := map[string]struct {
		event Arrived
		want  Effect
	}{
		"capacity":                 {Arrived{Pool: unboundedPool()}, Admit{ID: "b"}},
		"over the bound":           {Arrived{Pool: tight, Alternatives: free}, Spill{ID: "b", Engine: "e3"}},
		"over the bound, last hop": {Arrived{Pool: tight, Alternatives: free, Last: true}, Wait{ID: "b"}},
		"over the bound, all full": {Arrived{Pool: tight, Alternatives: full}, Wait{ID: "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, _ := newController(16)
			arrive(c, "a", "w")
			arrive(c, "a2", "w")
			tt.event.Request = NewRequest("b", "w")
			require.Equal(t, tt.want, c.Handle(tt.event)[0])
		})
	}
}

// TestLocalityWait checks that a request whose prompt is cached here is queued
// for its locality wait, and spills only after that.
func TestLocalityWait(t *testing.T) {
	c, clock := newController(16)
	tight := NewPool(2, 1, 1.25, 1)
	free := []Alternative{NewAlternative("e2", 0, 16)}
	arrive(c, "a", "w")
	arrive(c, "a2", "w")
	first := Arrived{Request: NewRequest("b", "w"), Pool: tight, Alternatives: free, LocalityWait: time.Second}
	require.Equal(t, []Effect{Wait{ID: "b"}}, c.Handle(first))
	clock.Advance(900 * time.Millisecond)
	require.Empty(t, c.Handle(Tick{}))
	clock.Advance(100 * time.Millisecond)
	require.Equal(t, []Effect{Resubmit{ID: "b"}}, c.Handle(Tick{}))
	first.LocalityWait = 0
	require.Equal(t, []Effect{Spill{ID: "b", Engine: "e2"}}, c.Handle(first))
	require.Zero(t, c.Waiting())
}

// TestUncachedRequestsBalanceLoad checks that an uncached request spills from an
// engine above the mean load to one below it, and that a returning one stays.
func TestUncachedRequestsBalanceLoad(t *testing.T) {
	c, _ := newController(16)
	for i := range 4 {
		arrive(c, fmt.Sprint(i), "w")
	}
	pool := NewPool(3, 9, 1.25, 8)
	others := []Alternative{NewAlternative("e2", 3, 16), NewAlternative("e3", 2, 16)}
	fresh := Arrived{Request: NewRequest("b", "w"), Pool: pool, Alternatives: others, Uncached: true}
	require.Equal(t, []Effect{Spill{ID: "b", Engine: "e3"}}, c.Handle(fresh))
	fresh.Uncached = false
	require.Equal(t, []Effect{Admit{ID: "b"}}, c.Handle(fresh))
}

func TestRejections(t *testing.T) {
	short := WithClass("batch", 1, 1, time.Second)
	c, clock := newController(1)
	arrive(c, "a", "w")
	require.Equal(t, Wait{ID: "b"}, arrive(c, "b", "w", short)[0])
	full, ok := arrive(c, "c", "w", short)[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueFull, full.Reason)
	require.GreaterOrEqual(t, full.RetryAfter, time.Second)
	clock.Advance(time.Second)
	late, ok := c.Handle(Tick{})[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueDeadline, late.Reason)
	arrive(c, "d", "w", short)
	closed, ok := c.Handle(Closed{})[0].(Reject)
	require.True(t, ok)
	require.Equal(t, EngineClosed, closed.Reason)
}

// TestUnreachableDeadlineIsRejectedOnArrival checks that a request that cannot be
// served before its deadline is rejected at once instead of being queued.
func TestUnreachableDeadlineIsRejectedOnArrival(t *testing.T) {
	c, clock := newController(1)
	arrive(c, "r0", "w")
	for i := range 60 {
		arrive(c, fmt.Sprintf("r%d", i+1), "w", WithClass("c", 1, 1000, time.Minute))
	}
	for i := range 20 {
		clock.Advance(time.Second)
		c.Handle(Finished{ID: fmt.Sprintf("r%d", i)})
	}
	r, ok := arrive(c, "late", "w", WithClass("c", 1, 1000, 5*time.Second))[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueTooSlow, r.Reason)
	require.Greater(t, r.RetryAfter, 30*time.Second)
}

// TestReportedLoadIsCounted checks that requests which another router admitted
// while the routers disagreed on the owner count against the limit.
func TestReportedLoadIsCounted(t *testing.T) {
	c, clock := newController(8)
	arrive(c, "a", "w")
	clock.Advance(time.Second)
	c.Handle(LoadReported{InFlight: 7, Age: 200 * time.Millisecond})
	require.Equal(t, 7, c.Load())
	require.Equal(t, Admit{ID: "b"}, arrive(c, "b", "w")[0])
	require.Equal(t, 8, c.Load())
	require.Equal(t, Wait{ID: "c"}, arrive(c, "c", "w")[0])
	clock.Advance(time.Second)
	effects := c.Handle(LoadReported{InFlight: 2, Age: 200 * time.Millisecond})
	require.Equal(t, "c", effects[0].(Admit).ID)
	require.Equal(t, 3, c.Load())
}

// TestOwnRequestsAreCountedOnce guards against counting own requests twice: a
// delayed report that misses new requests or still includes finished ones adds
// nothing to the load.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	c, clock := newController(8)
	for i := range 4 {
		arrive(c, fmt.Sprint(i), "w")
		clock.Advance(100 * time.Millisecond)
	}
	c.Handle(Finished{ID: "0"})
	c.Handle(Finished{ID: "1"})
	clock.Advance(50 * time.Millisecond)
	c.Handle(LoadReported{InFlight: 4, Age: 100 * time.Millisecond})
	require.Equal(t, 2, c.Load())
}

// TestClosedAndReopened guards against a closed controller that admits what waits or
// arrives, that loses count of what runs, or that stays closed after it is resized.
func TestClosedAndReopened(t *testing.T) {
	c, _ := newController(1)
	arrive(c, "a", "w")
	arrive(c, "b", "w")
	require.Equal(t, 1, c.Running())
	rejected, ok := c.Handle(Closed{})[0].(Reject)
	require.True(t, ok)
	require.Equal(t, "b", rejected.ID)
	require.Equal(t, EngineClosed, rejected.Reason)
	require.Equal(t, 1, c.Running())
	require.Empty(t, c.Handle(Finished{ID: "a"}))
	require.Zero(t, c.Running())
	require.IsType(t, Reject{}, arrive(c, "c", "w")[0])
	c.Handle(Resized{Slots: 1})
	require.Equal(t, Admit{ID: "d"}, arrive(c, "d", "w")[0])
}
