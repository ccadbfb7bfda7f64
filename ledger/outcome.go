package ledger

// MaxRecordedBody is the largest response body that is recorded, in bytes.
const MaxRecordedBody = 64 << 10

// Outcome is the response of a target to a call.
type Outcome struct {
	status      int
	header      map[string][]string
	body        []byte
	bodyOmitted bool
}

// NewOutcome returns the outcome of a call. A body over MaxRecordedBody is
// omitted.
func NewOutcome(status int, header map[string][]string, body []byte) Outcome {
	o := Outcome{status: status, header: header, body: body}
	if len(body) > MaxRecordedBody {
		o.body = nil
		o.bodyOmitted = true
	}
	return o
}

// WithoutBody returns the outcome of a call whose body isn't known.
func (o Outcome) WithoutBody() Outcome {
	o.body = nil
	o.bodyOmitted = true
	return o
}

// Status returns the HTTP status, or 0 if an operator settled the call.
func (o Outcome) Status() int { return o.status }

// Header returns the response headers for the caller.
func (o Outcome) Header() map[string][]string { return o.header }

// Body returns the response body, empty if it was omitted.
func (o Outcome) Body() []byte { return o.body }

// BodyOmitted reports whether the body was over MaxRecordedBody.
func (o Outcome) BodyOmitted() bool { return o.bodyOmitted }
