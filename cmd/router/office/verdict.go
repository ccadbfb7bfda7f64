package office

import "vanillalug.example"

// Verdict is what became of a chat request at the admitting router.
type Verdict interface{ verdict() }

// Served says that the whole answer was delivered.
type Served struct{}

// Cached says that the chat is cached at another engine.
type Cached struct {
	Engine  string
	Inherit bool
}

// Spilled says that another engine has room.
type Spilled struct{ Engine string }

// EngineOut says that the engine takes no new work. Nothing was run.
type EngineOut struct{ Reason string }

// AdmitterOut says that the router cannot admit. Unsent says that it was
// proved not to have got the request.
type AdmitterOut struct {
	Reason string
	Unsent bool
}

// Refused is the final answer: the request was not run.
type Refused struct{ Problem *vanillalug.Problem }

// Broken says that the answer could not be made whole. The engine may still
// be at work on it.
type Broken struct{ Reason string }

// Gone says that the caller has left.
type Gone struct{}

func (Served) verdict()      {}
func (Cached) verdict()      {}
func (Spilled) verdict()     {}
func (EngineOut) verdict()   {}
func (AdmitterOut) verdict() {}
func (Refused) verdict()     {}
func (Broken) verdict()      {}
func (Gone) verdict()        {}
