package intake

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testMaxConns = 100
	body4M       = 4 << 20
)

var (
	begin     = time.Unix(1000, 0)
	addresses = []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")}
)

func newTestAccount(size int64) *Account {
	limits := DefaultLimits(0)
	limits.Size = size
	return NewAccount(limits)
}

// open adds a connection whose request's body is awaited.
func open(t *testing.T, a *Account, now time.Time) *Holder {
	h, _ := a.Open(1, testMaxConns, addresses[0], now)
	require.NotNil(t, h)
	h.SetBusy(true, now)
	h.Await(now)
	return h
}

// TestLongestWithoutProgressIsEvicted guards against evictions of clients that send, or of requests
// that wait for their target, in place of one that stopped.
func TestLongestWithoutProgressIsEvicted(t *testing.T) {
	a := newTestAccount(10 << 20)
	stopped, slow, working := open(t, a, begin), open(t, a, begin), open(t, a, begin)
	for _, h := range []*Holder{stopped, slow, working} {
		granted, evictions := h.Grow(Body, 2<<20, begin)
		require.True(t, granted)
		require.Empty(t, evictions)
	}
	now := begin.Add(3 * time.Second)
	slow.Received(1<<20, now)
	slow.Await(now)
	working.Received(0, begin)
	next := open(t, a, now)
	granted, evictions := next.Grow(Body, 4<<20, now)
	require.True(t, granted)
	require.Len(t, evictions, 1)
	require.Same(t, stopped, evictions[0].Holder)
	require.Equal(t, Body, evictions[0].Kind)
	require.Equal(t, ReasonShort, stopped.Evicted())
	granted, _ = stopped.Grow(Body, 1, now)
	require.False(t, granted, "an evicted holder gets nothing more")
}

// TestTricklingIsNoProgress guards against clients that keep their memory by a byte now and then.
func TestTricklingIsNoProgress(t *testing.T) {
	a := newTestAccount(5 << 20)
	h := open(t, a, begin)
	granted, _ := h.Grow(Body, body4M, begin)
	require.True(t, granted)
	now := begin
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		h.Received(1, now)
		h.Await(now)
	}
	_, evictions := open(t, a, now).Grow(Body, body4M, now)
	require.Len(t, evictions, 1)
}

// TestOneRequestCanAlwaysBeHeld guards against a router that refuses all requests as those that run
// hold the whole account, and against a reserve that isn't given back.
func TestOneRequestCanAlwaysBeHeld(t *testing.T) {
	a := newTestAccount(1 << 20)
	working := open(t, a, begin)
	working.Received(0, begin)
	granted, _ := working.Grow(Body, 800<<10, begin)
	require.True(t, granted)
	for range 3 {
		h := open(t, a, begin)
		for size := int64(16 << 10); size <= body4M; size *= 2 {
			granted, _ = h.Grow(Body, size, begin)
			require.True(t, granted)
			h.Shrink(Body, size/2)
		}
		h.Received(0, begin)
		granted, _ = open(t, a, begin).Grow(Body, body4M, begin)
		require.False(t, granted, "the reserve is for one")
		h.FinishRequest()
	}
}

// TestShortRequestsFindRoom guards against large bodies that take what ordinary requests need.
func TestShortRequestsFindRoom(t *testing.T) {
	a := newTestAccount(64 << 20)
	for granted := true; granted; {
		h := open(t, a, begin)
		granted, _ = h.Grow(Body, body4M, begin)
	}
	for range 50 {
		granted, _ := open(t, a, begin).Grow(Body, 12_000, begin)
		require.True(t, granted)
	}
}

// TestShareOfAnAddress guards against one address that holds the whole account where a share is set.
func TestShareOfAnAddress(t *testing.T) {
	limits := DefaultLimits(0)
	limits.Size, limits.AddressShare = 32<<20, 0.25
	a := NewAccount(limits)
	first, second := open(t, a, begin), open(t, a, begin)
	granted, _ := first.Grow(Body, body4M, begin)
	require.True(t, granted)
	now := begin.Add(time.Second)
	granted, evictions := second.Grow(Body, 2*body4M, now)
	require.True(t, granted)
	require.Equal(t, ReasonAddress, evictions[0].Reason)
	other, _ := a.Open(1, testMaxConns, addresses[1], now)
	granted, evictions = other.Grow(Body, body4M, now)
	require.True(t, granted)
	require.Empty(t, evictions)
}

// TestIdleConnectionMakesRoom guards against idle connections that keep others out, and against ones
// with a request that are closed for that.
func TestIdleConnectionMakesRoom(t *testing.T) {
	a := newTestAccount(1 << 20)
	idle, _ := a.Open(1, 2, addresses[0], begin)
	idle.Await(begin)
	busy := open(t, a, begin)
	now := begin.Add(time.Second)
	h, evictions := a.Open(1, 2, addresses[0], now)
	require.NotNil(t, h)
	require.Same(t, idle, evictions[0].Holder)
	h.SetBusy(true, now)
	h, _ = a.Open(1, 2, addresses[0], now.Add(time.Second))
	require.Nil(t, h)
	require.Empty(t, busy.Evicted())
}

// TestDefaultsAreNotMet guards against defaults that a client within the limits reaches: one that
// sends 4 MiB evenly within 15 s isn't the one to be evicted when others stop.
func TestDefaultsAreNotMet(t *testing.T) {
	limits := DefaultLimits(136 << 20)
	require.GreaterOrEqual(t, limits.BodyGrace, 15*time.Second)
	require.GreaterOrEqual(t, MaxConns(136<<20, 2870, 0.5), 1400)
	h := open(t, NewAccount(limits), begin)
	for ms := range 15_000 / 50 {
		now := begin.Add(time.Duration(ms) * 50 * time.Millisecond)
		h.Received(body4M/300, now)
		h.Await(now)
		require.Less(t, h.stalledFor(now), minStall)
	}
}

// TestAccountAgainstSum checks after random operations that the account holds what its holders hold,
// and never more than its size and the reserve.
func TestAccountAgainstSum(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	limits := DefaultLimits(0)
	limits.Size, limits.AddressShare = 4<<20, 0.5
	a := NewAccount(limits)
	var open []*Holder
	now := begin
	for range 3_000 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		if len(open) < 5 || random.IntN(4) == 0 {
			if h, _ := a.Open(Group(random.IntN(3)), 30, addresses[random.IntN(2)], now); h != nil {
				open = append(open, h)
			}
		}
		if len(open) == 0 {
			continue
		}
		i := random.IntN(len(open))
		h := open[i]
		switch random.IntN(7) {
		case 0:
			h.Close()
			open = append(open[:i], open[i+1:]...)
		case 1:
			h.FinishRequest()
		case 2:
			h.Received(random.IntN(1<<16), now)
		case 3:
			h.Shrink(Kind(1+random.IntN(3)), int64(random.IntN(1<<18)))
		default:
			h.Await(now)
			h.Grow(Kind(1+random.IntN(3)), int64(random.IntN(1<<20)), now)
		}
		checkSums(t, a)
	}
}

func checkSums(t *testing.T, a *Account) {
	var sum, charged int64
	groups := map[Group]int{}
	for h := range a.holders {
		var held int64
		for _, k := range Kinds() {
			require.GreaterOrEqual(t, h.held[k], int64(0))
			held += h.held[k]
		}
		require.Equal(t, h.total, held)
		require.Equal(t, h.inReserve, a.reserved == h)
		sum += held
		if !h.inReserve {
			charged += held
		}
		groups[h.group]++
	}
	require.Equal(t, charged, a.total)
	require.LessOrEqual(t, sum, a.limits.Size+a.limits.Reserve)
	total := int64(0)
	for _, k := range Kinds() {
		total += a.Held(k)
	}
	require.Equal(t, sum, total)
	for g, n := range groups {
		require.Equal(t, n, a.groups[g])
	}
}
