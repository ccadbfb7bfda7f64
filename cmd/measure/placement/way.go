package placement

import "time"

// Way is a way to choose the engine of a chat.
type Way interface{ way() }

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
	Balance  bool
	Patience time.Duration
	ColdCost bool
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

// Memory is where the last engine of a chat is remembered.
type Memory interface{ memory() }

// NoMemory remembers nothing.
type NoMemory struct{}

// KeeperMemory is the memory of the admitting router of the chat's first
// engine.
type KeeperMemory struct{}

// RouterMemory is spread over the routers by chat, with a second copy.
type RouterMemory struct{}

// CallerHint is echoed by the caller.
type CallerHint struct{}

func (NoMemory) memory()     {}
func (KeeperMemory) memory() {}
func (RouterMemory) memory() {}
func (CallerHint) memory()   {}

// Case is a way with a memory.
type Case struct {
	name   string
	way    Way
	memory Memory
}

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// Cases returns the cases to compare.
func Cases() []Case {
	return []Case{
		{"rendezvous, no memory", Rendezvous{}, NoMemory{}},
		{"rendezvous, router memory", Rendezvous{}, RouterMemory{}},
		{"rendezvous, caller hint", Rendezvous{}, CallerHint{}},
		{"local bound, no memory", LocalBound{}, NoMemory{}},
		{"local bound, router memory", LocalBound{}, RouterMemory{}},
		{"local bound, caller hint", LocalBound{}, CallerHint{}},
		{"credits, no memory", Credits{}, NoMemory{}},
		{"credits, router memory", Credits{}, RouterMemory{}},
		{"credits, caller hint", Credits{}, CallerHint{}},
		{"admitting, no memory", Admitting{}, NoMemory{}},
		{"admitting, router memory", Admitting{}, RouterMemory{}},
		{"admitting, caller hint", Admitting{}, CallerHint{}},
		{"admitting, keeper", Admitting{}, KeeperMemory{}},
		{"admitting, keeper, balance", Admitting{Balance: true}, KeeperMemory{}},
		{"admitting, keeper, wait 1s", Admitting{Patience: time.Second}, KeeperMemory{}},
		{"admitting, keeper, wait 0.5s", Admitting{Patience: 500 * time.Millisecond}, KeeperMemory{}},
		{"admitting, keeper, balance, wait 0.25s", Admitting{Balance: true, Patience: 250 * time.Millisecond}, KeeperMemory{}},
		{"admitting, keeper, balance, wait 0.5s", Admitting{Balance: true, Patience: 500 * time.Millisecond}, KeeperMemory{}},
		{"admitting, keeper, balance, wait 1s", Admitting{Balance: true, Patience: time.Second}, KeeperMemory{}},
		{"admitting, keeper, balance, wait 2s", Admitting{Balance: true, Patience: 2 * time.Second}, KeeperMemory{}},
		{"admitting, keeper, balance, wait up to cold cost", Admitting{Balance: true, Patience: time.Second, ColdCost: true}, KeeperMemory{}},
		{"admitting, keeper, balance, wait up to cold cost, 2s", Admitting{Balance: true, Patience: 2 * time.Second, ColdCost: true}, KeeperMemory{}},
		{"admitting, caller hint, balance, wait 1s", Admitting{Balance: true, Patience: time.Second}, CallerHint{}},
		{"full knowledge", FullKnowledge{}, NoMemory{}},
	}
}
