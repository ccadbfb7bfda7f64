package office

import "vanillalug.example"

// Result is what became of a chat request at the admitting router.
type Result interface{ verdict() }

// Completed says that the whole answer was delivered.
type Completed struct{}

// Redirected says that the chat is cached at another engine.
type Redirected struct {
	Engine      string
	Speculative bool
}

// Spilled says that another engine has room.
type Spilled struct{ Engine string }

// EngineUnavailable says that the engine takes no new work. Nothing was run.
type EngineUnavailable struct{ Reason string }

// AdmitterUnavailable says that the router cannot admit. Unsent says that it was
// proved not to have got the request.
type AdmitterUnavailable struct {
	Reason string
	NotRun bool
}

// Rejected is the final answer: the request was not run.
type Rejected struct{ Problem *vanillalug.Problem }

// Interrupted says that the answer could not be made whole. The engine may still
// be at work on it.
type Interrupted struct{ Reason string }

// CallerDisconnected says that the caller has left.
type CallerDisconnected struct{}

func (Completed) verdict()           {}
func (Redirected) verdict()          {}
func (Spilled) verdict()             {}
func (EngineUnavailable) verdict()   {}
func (AdmitterUnavailable) verdict() {}
func (Rejected) verdict()            {}
func (Interrupted) verdict()         {}
func (CallerDisconnected) verdict()  {}
