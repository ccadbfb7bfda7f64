package office

import "vanillalug.example"

// Result is the result of a chat request at the admitting router.
type Result interface{ result() }

// Completed means that the complete response was delivered.
type Completed struct{}

// Redirected means that the chat is cached at another engine. Speculative means
// that the engine was chosen without knowing whether it has the chat cached.
type Redirected struct {
	Engine      string
	Speculative bool
}

// Spilled means that the request is sent to another engine that has capacity.
type Spilled struct{ Engine string }

// EngineUnavailable means that the engine accepts no new requests. The request was
// not run.
type EngineUnavailable struct{ Reason string }

// AdmitterUnavailable means that the router cannot admit the request. NotRun means
// that the request certainly was not run.
type AdmitterUnavailable struct {
	Reason string
	NotRun bool
}

// Rejected means that the request was rejected without being run.
type Rejected struct{ Problem *vanillalug.Problem }

// Interrupted means that the response is incomplete. The engine may still be
// running the request. Crashed says that it seems to have crashed: it ended the connection.
type Interrupted struct {
	Reason  string
	Crashed bool
}

// CallerDisconnected means that the caller closed the connection.
type CallerDisconnected struct{}

func (Completed) result()           {}
func (Redirected) result()          {}
func (Spilled) result()             {}
func (EngineUnavailable) result()   {}
func (AdmitterUnavailable) result() {}
func (Rejected) result()            {}
func (Interrupted) result()         {}
func (CallerDisconnected) result()  {}
