package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
	"vanillalug.example/schedule"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestCacheIndex(t *testing.T) {
	const chat = vanillalug.ChatKey(1)
	returning := Lookup{Chat: chat, Returning: true, Next: "e2"}
	tests := map[string]struct {
		before []Event
		lookup Lookup
		want   Effect
	}{
		"new chat":                  {nil, Lookup{Chat: chat, Next: "e2"}, ServeLocal{}},
		"unknown, index incomplete": {nil, returning, ServeLocal{Cached: true}},
		"unknown, index complete":   {[]Event{CacheSynced{}}, returning, Redirect{Engine: "e2", Speculative: true}},
		"served here before":        {[]Event{CacheSynced{}, Admitted{chat}}, returning, ServeLocal{Cached: true}},
		"spilled before":            {[]Event{Spilled{chat, "e3"}}, returning, Redirect{Engine: "e3"}},
		"stored by cache event":     {[]Event{CacheSynced{}, CacheChanged{1, []CacheChange{{chat, true}}}}, returning, ServeLocal{Cached: true}},
		"evicted by cache event":    {[]Event{CacheSynced{Chats: []vanillalug.ChatKey{chat}}, CacheChanged{1, []CacheChange{{chat, false}}}}, returning, Redirect{Engine: "e2", Speculative: true}},
		"engine lost its cache":     {[]Event{CacheSynced{}, Admitted{chat}, EngineRestarted{}}, returning, ServeLocal{Cached: true}},
		"speculative, unknown":      {[]Event{CacheSynced{}}, Lookup{Chat: chat, Returning: true, Speculative: true, Home: "e1"}, Redirect{Engine: "e1"}},
		"speculative, cached here":  {[]Event{CacheSynced{}, Admitted{chat}}, Lookup{Chat: chat, Returning: true, Speculative: true, Home: "e1"}, ServeLocal{Cached: true}},
		"no redirect":               {[]Event{Spilled{chat, "e3"}}, Lookup{Chat: chat, NoRedirect: true}, ServeLocal{}},
		"only engine":               {[]Event{CacheSynced{}}, Lookup{Chat: chat, Returning: true}, ServeLocal{}},
		"unknown, second lookup":    {[]Event{CacheSynced{}, returning}, returning, Redirect{Engine: "e2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := NewCacheIndex(100)
			for _, ev := range tt.before {
				x.Handle(ev)
			}
			require.Equal(t, []Effect{tt.want}, x.Handle(tt.lookup))
		})
	}
}

// TestUnknownChatIsForwardedAndReturned covers indexes that have lost their
// entries: a returning chat is forwarded along its rendezvous order and then
// back to its home engine.
func TestUnknownChatIsForwardedAndReturned(t *testing.T) {
	lookup := Lookup{Chat: 1, Returning: true, Speculative: true, CanForward: true, Home: "e1", Next: "e3"}
	x := NewCacheIndex(100)
	x.Handle(CacheSynced{})
	require.Equal(t, []Effect{Redirect{Engine: "e3", Speculative: true}}, x.Handle(lookup))
	lookup.CanForward = false
	require.Equal(t, []Effect{Redirect{Engine: "e1"}}, x.Handle(lookup))

	r := NewRoute([]string{"e1", "e2", "e3"}, "")
	r.Follow(Redirect{Engine: "e2", Speculative: true})
	r.Follow(Redirect{Engine: "e3", Speculative: true})
	h, _ := r.Hop()
	require.Equal(t, "e1", h.Home())
	r.Follow(Redirect{Engine: "e1"})
	h, _ = r.Hop()
	require.Equal(t, "e1", h.Engine())
	require.True(t, h.NoRedirect())
}

func TestCacheEventGapCausesResync(t *testing.T) {
	x := NewCacheIndex(100)
	require.Equal(t, []Effect{Resync{}}, x.Handle(CacheChanged{First: 1}))
	x.Handle(CacheSynced{Last: 10})
	require.Empty(t, x.Handle(CacheChanged{First: 9, Changes: make([]CacheChange, 3)}))
	require.Equal(t, []Effect{Resync{}}, x.Handle(CacheChanged{First: 13, Changes: make([]CacheChange, 1)}))
	require.False(t, x.Complete())
}

func TestCacheIndexSizeIsBounded(t *testing.T) {
	x := NewCacheIndex(1000)
	for i := range 100000 {
		x.Handle(Admitted{Chat: vanillalug.ChatKey(i)})
		x.Handle(Lookup{Chat: 7, Returning: true})
	}
	require.LessOrEqual(t, x.Len(), 1000)
	x.Handle(CacheSynced{})
	require.Equal(t, []Effect{ServeLocal{Cached: true}}, x.Handle(Lookup{Chat: 7, Returning: true, Next: "e2"}), "a chat in use is not evicted")
}

// TestRouteTerminates draws arbitrary answers of the admitting routers: every
// request ends within a few hops, a failed engine is never tried again, and the
// last hop is marked.
func TestRouteTerminates(t *testing.T) {
	lugtest.Check(t, "500", "30", func(t *rapid.T) {
		var ranked []string
		for i := range rapid.IntRange(0, 6).Draw(t, "engines") {
			ranked = append(ranked, fmt.Sprintf("e%d", i))
		}
		r := NewRoute(ranked, "")
		failed := map[string]bool{}
		for hops := 0; ; hops++ {
			h, ok := r.Hop()
			if !ok {
				require.Len(t, failed, len(ranked))
				return
			}
			require.Less(t, hops, maxHops+len(ranked)+1)
			require.False(t, failed[h.Engine()])
			require.Equal(t, hops >= maxHops-1, h.Last())
			require.NotContains(t, r.Alternatives(), h.Engine())
			switch rapid.SampledFrom([]string{"serve", "cached", "inherit", "spill", "fail"}).Draw(t, "answer") {
			case "serve":
				return
			case "fail":
				failed[h.Engine()] = true
				r.Fail()
			default:
				if h.Last() {
					return
				}
				others := r.Alternatives()
				if len(others) == 0 {
					failed[h.Engine()] = true
					r.Fail()
					continue
				}
				followOrSpill(t, r, others)
			}
		}
	})
}

func followOrSpill(t *rapid.T, r *Route, others []string) {
	if rapid.Bool().Draw(t, "spill") {
		r.Spill(rapid.SampledFrom(others).Draw(t, "to"))
		return
	}
	r.Follow(Redirect{Engine: rapid.SampledFrom(others).Draw(t, "at"), Speculative: rapid.Bool().Draw(t, "inherit")})
}

func TestHealth(t *testing.T) {
	tests := map[string]struct {
		run  func(h *Health, c *schedule.Fake)
		want Condition
	}{
		"new":         {func(*Health, *schedule.Fake) {}, Up},
		"one failure": {func(h *Health, _ *schedule.Fake) { h.RecordFailure() }, Up},
		"two failures": {func(h *Health, _ *schedule.Fake) {
			h.RecordFailure()
			h.RecordFailure()
		}, Down},
		"one success after down": {func(h *Health, _ *schedule.Fake) {
			h.RecordFailure()
			h.RecordFailure()
			h.RecordSuccess()
		}, Down},
		"up after the recovery time": {func(h *Health, c *schedule.Fake) {
			h.RecordFailure()
			h.RecordFailure()
			succeedFor(h, c, 3*time.Second)
		}, Up},
		"recovery time grows with flaps": {func(h *Health, c *schedule.Fake) {
			for range 4 {
				h.RecordFailure()
				h.RecordFailure()
				succeedFor(h, c, 3*time.Second)
			}
		}, Down},
		"leaving by the platform": {func(h *Health, _ *schedule.Fake) { h.SetLeaving(ByPlatform, true) }, Leaving},
		"platform withdraws it":   {func(h *Health, _ *schedule.Fake) { h.SetLeaving(ByPlatform, true); h.SetLeaving(ByPlatform, false) }, Leaving},
		"platform withdraws it, hold time over": {func(h *Health, c *schedule.Fake) {
			h.SetLeaving(ByPlatform, true)
			h.SetLeaving(ByPlatform, false)
			c.Advance(leavingHoldTime)
		}, Up},
		"document withdraws it": {func(h *Health, _ *schedule.Fake) { h.SetLeaving(ByDocument, true); h.SetLeaving(ByDocument, false) }, Up},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := schedule.NewFake(start)
			h := NewHealth(clock)
			tt.run(h, clock)
			require.Equal(t, tt.want, h.Condition())
		})
	}
}

func succeedFor(h *Health, c *schedule.Fake, d time.Duration) {
	const step = 100 * time.Millisecond
	for range d / step {
		h.RecordSuccess()
		c.Advance(step)
	}
}

func TestLoadView(t *testing.T) {
	v := NewLoadView()
	require.True(t, v.Put(NewLoad("e1", 3, Up, start.Add(time.Second))))
	require.False(t, v.Put(NewLoad("e1", 9, Up, start)), "an older load is ignored")
	l, ok := v.Get("e1", start.Add(2*time.Second))
	require.True(t, ok)
	require.Equal(t, 3, l.InFlight())
	_, ok = v.Get("e1", start.Add(time.Minute))
	require.False(t, ok, "a load expires")
	for i := range 100 {
		v.Put(NewLoad(fmt.Sprintf("x%d", i), i, Up, start))
	}
	require.Len(t, v.Sample(10, start, func(int) int { return 0 }), 10)
}

func TestOwnerMovesOnlyFromARemovedRouter(t *testing.T) {
	var routers []string
	for i := range 18 {
		routers = append(routers, fmt.Sprintf("r%d", i))
	}
	for i := range 100 {
		engine := fmt.Sprintf("e%d", i)
		owner := Owner(engine, routers)
		if owner != routers[0] {
			require.Equal(t, owner, Owner(engine, routers[1:]))
		}
	}
	require.Empty(t, Owner("e", nil))
}
