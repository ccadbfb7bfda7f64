package intake

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// minStall is the time without progress from which a holder may be evicted. A client that sends
	// over a slow link pauses for less.
	minStall = 500 * time.Millisecond
	// largeHolder is what a holder has to hold to be evicted before others, and to be left out of
	// the last eighth of the account, in bytes. Ordinary requests hold less.
	largeHolder = 96 << 10
	// smallPart is the part of the account that is only for holders below largeHolder.
	smallPart = 8
)

// Account has what the connections of a process hold. It is safe for concurrent use.
type Account struct {
	limits Limits

	mu      sync.Mutex
	holders map[*Holder]bool
	groups  map[Group]int
	// bodies are the unfinished bodies by address, in bytes; nil if AddressShare is 1.
	bodies   map[netip.Addr]int64
	held     [kinds]int64
	total    int64
	reserved *Holder
}

// Eviction says that a holder has to be given up: its connection is closed, or its request refused if
// it hasn't run.
type Eviction struct {
	Holder *Holder
	Reason Reason
	// Kind is what most of Held was held for.
	Kind    Kind
	Held    int64
	Stalled time.Duration
}

// NewAccount returns an empty account.
func NewAccount(limits Limits) *Account {
	a := &Account{limits: limits, holders: map[*Holder]bool{}, groups: map[Group]int{}}
	if limits.AddressShare < 1 {
		a.bodies = map[netip.Addr]int64{}
	}
	return a
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Held returns what is held of a kind, in bytes.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[k]
}

// Open adds a connection. If its listener has maxConns already, the one without a request that has
// waited longest is evicted; without such a one, nil is returned.
func (a *Account) Open(group Group, maxConns int, address netip.Addr, now time.Time) (*Holder, []Eviction) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var evictions []Eviction
	if a.groups[group] >= maxConns {
		v := a.longest(now, func(h *Holder) bool { return h.group == group && !h.busy.Load() })
		if v == nil {
			return nil, nil
		}
		evictions = append(evictions, a.evict(v, ReasonConns, now))
	}
	h := &Holder{account: a, group: group, address: address}
	h.progress.Store(now.UnixNano())
	a.holders[h] = true
	a.groups[group]++
	granted, more := a.grow(h, Connection, ConnectionBytes, now)
	evictions = append(evictions, more...)
	if !granted {
		a.remove(h)
		return nil, evictions
	}
	return h, evictions
}

// Close removes a connection with all that it holds.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.remove(h)
}

// Grow adds n bytes to what the connection holds. Others may have to be given up for that; if that
// isn't enough, or the connection itself was evicted, it returns false and nothing is added.
func (h *Holder) Grow(k Kind, n int64, now time.Time) (granted bool, evictions []Eviction) {
	if h == nil {
		return true, nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.account.grow(h, k, n, now)
}

// Shrink takes n bytes from what the connection holds, at most all.
func (h *Holder) Shrink(k Kind, n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, k, -min(n, h.held[k]))
}

// Held returns what the connection holds of a kind, in bytes.
func (h *Holder) Held(k Kind) int64 {
	if h == nil {
		return 0
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.held[k]
}

// FinishRequest takes everything from the connection that it held for a request.
func (h *Holder) FinishRequest() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	for k := Head; k < kinds; k++ {
		h.account.add(h, k, -h.held[k])
	}
	h.account.freeReserve(h)
}

// Evicted returns why the holder was evicted, or "".
func (h *Holder) Evicted() Reason {
	if h == nil {
		return ""
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

func (a *Account) grow(h *Holder, k Kind, n int64, now time.Time) (granted bool, evictions []Eviction) {
	if h.evicted != "" {
		return false, nil
	}
	for k == Body && !a.fitsAddress(h, n) {
		v := a.longest(now, func(o *Holder) bool { return o != h && o.address == h.address && o.held[Body] > 0 })
		if v == nil {
			return false, evictions
		}
		evictions = append(evictions, a.evict(v, ReasonAddress, now))
	}
	for !a.fits(h, n) {
		v := a.victim(h, now)
		if v == nil {
			break
		}
		evictions = append(evictions, a.evict(v, ReasonShort, now))
	}
	if !a.fits(h, n) {
		if v := a.stalledReserve(now); v != nil && v != h {
			evictions = append(evictions, a.evict(v, ReasonShort, now))
		}
		if !a.reserve(h, n) {
			return false, evictions
		}
	}
	a.add(h, k, n)
	return true, evictions
}

func (a *Account) fits(h *Holder, n int64) bool {
	if h.inReserve {
		return h.total+n <= a.limits.Reserve
	}
	size := a.limits.Size
	if h.total+n > largeHolder {
		size -= size / smallPart
	}
	return a.total+n <= size
}

func (a *Account) fitsAddress(h *Holder, n int64) bool {
	return a.bodies == nil || a.bodies[h.address]+n <= int64(float64(a.limits.Size)*a.limits.AddressShare)
}

// reserve lets the holder use the reserve from now on, if it is free and large enough.
func (a *Account) reserve(h *Holder, n int64) bool {
	if a.reserved != nil || h.total+n > a.limits.Reserve {
		return false
	}
	a.reserved, h.inReserve = h, true
	a.total -= h.total
	return true
}

// stalledReserve returns the holder of the reserve if its client makes no progress, or nil.
func (a *Account) stalledReserve(now time.Time) *Holder {
	return a.longest(now, func(o *Holder) bool { return o.inReserve })
}

// freeReserve gives the reserve back if the holder has it.
func (a *Account) freeReserve(h *Holder) {
	if a.reserved != h {
		return
	}
	a.reserved, h.inReserve = nil, false
	a.total += h.total
}

// victim returns the holder that has gone longest without progress, or nil: of those that hold much,
// or else of all.
func (a *Account) victim(h *Holder, now time.Time) *Holder {
	v := a.longest(now, func(o *Holder) bool { return o != h && !o.inReserve && o.total >= largeHolder })
	if v == nil {
		v = a.longest(now, func(o *Holder) bool { return o != h && !o.inReserve })
	}
	return v
}

// longest returns the holder that has gone longest without progress, of those that the router waits
// for. A request that waits for its target is none of them.
func (a *Account) longest(now time.Time, eligible func(*Holder) bool) *Holder {
	var v *Holder
	for h := range a.holders {
		if h.evicted != "" || !h.waiting.Load() || !eligible(h) || h.stalledFor(now) < minStall {
			continue
		}
		if v == nil || h.progress.Load() < v.progress.Load() {
			v = h
		}
	}
	return v
}

// evict takes everything from a holder; its connection stays counted until it is closed.
func (a *Account) evict(h *Holder, reason Reason, now time.Time) Eviction {
	e := Eviction{Holder: h, Reason: reason, Held: h.total, Stalled: h.stalledFor(now)}
	for k := range kinds {
		if h.held[k] > h.held[e.Kind] {
			e.Kind = k
		}
	}
	for k := range kinds {
		a.add(h, k, -h.held[k])
	}
	h.evicted = reason
	a.leave(h)
	return e
}

func (a *Account) remove(h *Holder) {
	if h.evicted == "" && a.holders[h] {
		for k := range kinds {
			a.add(h, k, -h.held[k])
		}
		a.leave(h)
		h.evicted = reasonClosed
	}
}

// leave takes a holder that holds nothing out of the account.
func (a *Account) leave(h *Holder) {
	delete(a.holders, h)
	a.groups[h.group]--
	a.freeReserve(h)
}

func (a *Account) add(h *Holder, k Kind, n int64) {
	h.held[k] += n
	h.total += n
	a.held[k] += n
	if !h.inReserve {
		a.total += n
	}
	if k == Body && a.bodies != nil {
		a.addBody(h.address, n)
	}
}

func (a *Account) addBody(address netip.Addr, n int64) {
	a.bodies[address] += n
	if a.bodies[address] == 0 {
		delete(a.bodies, address)
	}
}
