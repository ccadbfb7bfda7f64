package placement

import "time"

// Policy chooses the engine of a chat.
type Policy interface{ policy() }

// Rendezvous sends every chat to the first engine in rendezvous order.
type Rendezvous struct{}

// LocalBound skips engines that are over the load bound by the delayed reports
// and the router's own count.
type LocalBound struct{}

// Admitting sends the request to the router that admits for the engine. Balance
// sends uncached chats to the least loaded engine. LocalityWait is how long
// returning chats wait for the engine that has their prompt cached. With
// CapAtPrefill they wait no longer than prefilling their earlier turns would take.
type Admitting struct {
	Balance      bool
	LocalityWait time.Duration
	CapAtPrefill bool
}

// Credits lets routers admit by themselves with credits that the admitting
// router of the engine grants.
type Credits struct{}

// FullKnowledge reads every cache and every load without delay. It sends a chat
// to the engine that has most of its prompt cached, without a load bound: an
// upper limit of the reuse.
type FullKnowledge struct{}

func (Rendezvous) policy()    {}
func (LocalBound) policy()    {}
func (Admitting) policy()     {}
func (Credits) policy()       {}
func (FullKnowledge) policy() {}

// Affinity is where the last engine of a chat is recorded.
type Affinity interface{ affinity() }

// NoAffinity records nothing.
type NoAffinity struct{}

// CacheIndexAffinity is the cache index of the admitting router of the chat's
// first engine.
type CacheIndexAffinity struct{}

// RouterAffinity is sharded over the routers by chat, with two replicas.
type RouterAffinity struct{}

// CallerHint is a hint that the caller echoes.
type CallerHint struct{}

func (NoAffinity) affinity()         {}
func (CacheIndexAffinity) affinity() {}
func (RouterAffinity) affinity()     {}
func (CallerHint) affinity()         {}

// Case is a policy with an affinity.
type Case struct {
	name     string
	policy   Policy
	affinity Affinity
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
