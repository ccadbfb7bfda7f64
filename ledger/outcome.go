package ledger

// MaxRecordedBody is the largest answer that is recorded with its body.
const MaxRecordedBody = 64 << 10

// Outcome is the answer of a target to a call.
type Outcome struct {
	status      int
	header      map[string][]string
	body        []byte
	bodyLeftOut bool
}

// NewOutcome returns an answer. A body over MaxRecordedBody is left out of
// what is recorded.
func NewOutcome(status int, header map[string][]string, body []byte) Outcome {
	o := Outcome{status: status, header: header, body: body}
	if len(body) > MaxRecordedBody {
		o.body = nil
		o.bodyLeftOut = true
	}
	return o
}

// Status returns the HTTP status, or 0 where an operator settled the call.
func (o Outcome) Status() int { return o.status }

// Header returns the headers to give to the caller.
func (o Outcome) Header() map[string][]string { return o.header }

// Body returns the body.
func (o Outcome) Body() []byte { return o.body }

// BodyOmitted reports whether the body was too large to record.
func (o Outcome) BodyOmitted() bool { return o.bodyLeftOut }
