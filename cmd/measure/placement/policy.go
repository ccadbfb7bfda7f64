package placement

import "time"

// Policy is a way to choose the engine of a chat.
type Policy interface{ way() }

// Rendezvous sends every chat to the first engine in rendezvous order.
type Rendezvous struct{}

// LocalBound passes over engines that the lagging reports and the router's
// own count hold to be over the bound.
type LocalBound struct{}

// Admitting asks the router that admits for the engine. Balance sends fresh
// chats to the least loaded engine; Patience lets returning chats wait for the
// engine that has their prompt.
// With ColdCost they wait no longer than a cold prompt would take.
type Admitting struct {
	Balance      bool
	LocalityWait time.Duration
	CapAtPrefill bool
}

// Credits lets routers admit by themselves with credits that the admitting
// router of the engine lends.
type Credits struct{}

// FullKnowledge knows every cache and every load at once. It sends a chat to
// the engine that has most of its prompt, without a bound: the best reuse.
type FullKnowledge struct{}

func (Rendezvous) way()    {}
func (LocalBound) way()    {}
func (Admitting) way()     {}
func (Credits) way()       {}
func (FullKnowledge) way() {}

// Affinity is where the last engine of a chat is remembered.
type Affinity interface{ memory() }

// NoAffinity remembers nothing.
type NoAffinity struct{}

// CacheIndexAffinity is the memory of the admitting router of the chat's first
// engine.
type CacheIndexAffinity struct{}

// RouterAffinity is spread over the routers by chat, with a second copy.
type RouterAffinity struct{}

// CallerHint is echoed by the caller.
type CallerHint struct{}

func (NoAffinity) memory()         {}
func (CacheIndexAffinity) memory() {}
func (RouterAffinity) memory()     {}
func (CallerHint) memory()         {}

// Case is a way with a memory.
type Case struct {
	name   string
	way    Policy
	memory Affinity
}

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// Cases returns the cases to compare.
func Cases() []Case {
	return []Case{
		{"rendezvous, no memory", Rendezvous{}, NoAffinity{}},
		{"rendezvous, router memory", Rendezvous{}, RouterAffinity{}},
		{"rendezvous, caller hint", Rendezvous{}, CallerHint{}},
		{"local bound, no memory", LocalBound{}, NoAffinity{}},
		{"local bound, router memory", LocalBound{}, RouterAffinity{}},
		{"local bound, caller hint", LocalBound{}, CallerHint{}},
		{"credits, no memory", Credits{}, NoAffinity{}},
		{"credits, router memory", Credits{}, RouterAffinity{}},
		{"credits, caller hint", Credits{}, CallerHint{}},
		{"admitting, no memory", Admitting{}, NoAffinity{}},
		{"admitting, router memory", Admitting{}, RouterAffinity{}},
		{"admitting, caller hint", Admitting{}, CallerHint{}},
		{"admitting, keeper", Admitting{}, CacheIndexAffinity{}},
		{"admitting, keeper, balance", Admitting{Balance: true}, CacheIndexAffinity{}},
		{"admitting, keeper, wait 1s", Admitting{LocalityWait: time.Second}, CacheIndexAffinity{}},
		{"admitting, keeper, wait 0.5s", Admitting{LocalityWait: 500 * time.Millisecond}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait 0.25s", Admitting{Balance: true, LocalityWait: 250 * time.Millisecond}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait 0.5s", Admitting{Balance: true, LocalityWait: 500 * time.Millisecond}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait 1s", Admitting{Balance: true, LocalityWait: time.Second}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait 2s", Admitting{Balance: true, LocalityWait: 2 * time.Second}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait up to cold cost", Admitting{Balance: true, LocalityWait: time.Second, CapAtPrefill: true}, CacheIndexAffinity{}},
		{"admitting, keeper, balance, wait up to cold cost, 2s", Admitting{Balance: true, LocalityWait: 2 * time.Second, CapAtPrefill: true}, CacheIndexAffinity{}},
		{"admitting, caller hint, balance, wait 1s", Admitting{Balance: true, LocalityWait: time.Second}, CallerHint{}},
		{"full knowledge", FullKnowledge{}, NoAffinity{}},
	}
}
