package ledger

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

const claimPrefix = "claim/"

// ClaimState is the recorded state of a claimed call.
type ClaimState string

// The states of a claim.
const (
	// Claimed: the call may have been sent; its outcome is not recorded.
	Claimed ClaimState = "claimed"
	// Released: the call was certainly not sent.
	Released ClaimState = "released"
	// Finished: the outcome is recorded.
	Finished ClaimState = "finished"
)

// Claim is the row of one idempotency key in the platform's table. It marshals
// to the JSON of the row.
type Claim struct {
	workspace string
	service   string
	key       string
	attempt   string
	digest    string
	version   uint64
	router    string
	target    string
	state     ClaimState
	outcome   Outcome
	at        time.Time
	settledBy string
}

// ClaimOption changes a new Claim.
type ClaimOption func(*Claim)

// WithAttempt sets the unique id of the attempt.
func WithAttempt(attempt string) ClaimOption { return func(c *Claim) { c.attempt = attempt } }

// WithDigest sets the digest of the request.
func WithDigest(digest string) ClaimOption { return func(c *Claim) { c.digest = digest } }

// WithVersion sets the active version of the fleet document.
func WithVersion(version uint64) ClaimOption { return func(c *Claim) { c.version = version } }

// WithRouter sets the router that made the claim and the target of the call.
func WithRouter(router, target string) ClaimOption {
	return func(c *Claim) { c.router, c.target = router, target }
}

// WithTime sets when the claim was made.
func WithTime(at time.Time) ClaimOption { return func(c *Claim) { c.at = at } }

// NewClaim returns the claim of an idempotency key. Keys are scoped to a
// workspace and a service.
func NewClaim(workspace, service, key string, opts ...ClaimOption) Claim {
	c := Claim{workspace: workspace, service: service, key: key, state: Claimed}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// Workspace returns the workspace of the caller.
func (c Claim) Workspace() string { return c.workspace }

// Service returns the service that is called.
func (c Claim) Service() string { return c.service }

// Key returns the idempotency key.
func (c Claim) Key() string { return c.key }

// Attempt returns the unique id of the attempt that holds the claim.
func (c Claim) Attempt() string { return c.attempt }

// Digest returns the digest of the request, as RequestDigest returns it.
func (c Claim) Digest() string { return c.digest }

// Version returns the version of the fleet document that was active at the
// time of the claim.
func (c Claim) Version() uint64 { return c.version }

// Router returns the router that made the claim.
func (c Claim) Router() string { return c.router }

// Target returns the target of the call.
func (c Claim) Target() string { return c.target }

// State returns the recorded state of the call.
func (c Claim) State() ClaimState { return c.state }

// Outcome returns the recorded outcome of a finished call.
func (c Claim) Outcome() Outcome { return c.outcome }

// At returns when the claim was made, by the clock of the router.
func (c Claim) At() time.Time { return c.at }

// SettledBy returns the operator who settled the claim, or "".
func (c Claim) SettledBy() string { return c.settledBy }

// TableKey returns the key of the claim's row.
func (c Claim) TableKey() string { return ClaimTableKey(c.workspace, c.service, c.key) }

// ClaimTableKey returns the key of the row of an idempotency key. The
// idempotency key is hashed, so that the caller's text is not part of the row key.
func ClaimTableKey(workspace, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return claimPrefix + workspace + "/" + service + "/" + hex.EncodeToString(sum[:16])
}

// ClaimPrefix returns the key prefix of the claims of a workspace, or of all
// claims if the workspace is "".
func ClaimPrefix(workspace string) string {
	if workspace == "" {
		return claimPrefix
	}
	return claimPrefix + workspace + "/"
}

// RequestDigest returns the digest of a request: half a SHA-256 in hexadecimal. It
// distinguishes a retry from another request with the same key.
func RequestDigest(method, path, query string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, path, query} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// finished returns the claim as finished with the outcome.
func (c Claim) finished(o Outcome) Claim {
	c.state = Finished
	c.outcome = o
	return c
}

// released returns the claim as released.
func (c Claim) released() Claim {
	c.state = Released
	return c
}

// Settle returns the claim as settled by an operator: finished with no recorded
// response if the call ran, otherwise released.
func (c Claim) Settle(ran bool, operator string) Claim {
	c.settledBy = operator
	if !ran {
		return c.released()
	}
	return c.finished(Outcome{})
}

type claimBody struct {
	Workspace   string              `json:"workspace"`
	Service     string              `json:"service"`
	Key         string              `json:"key"`
	Attempt     string              `json:"attempt"`
	Digest      string              `json:"digest"`
	Version     uint64              `json:"version"`
	Router      string              `json:"router"`
	Target      string              `json:"target"`
	State       ClaimState          `json:"state"`
	Status      int                 `json:"status,omitempty"`
	Header      map[string][]string `json:"header,omitempty"`
	Body        string              `json:"body,omitempty"`
	BodyOmitted bool                `json:"body-left-out,omitempty"`
	At          time.Time           `json:"at"`
	SettledBy   string              `json:"settled-by,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c Claim) MarshalJSON() ([]byte, error) {
	return json.Marshal(claimBody{
		Workspace: c.workspace, Service: c.service, Key: c.key, Attempt: c.attempt,
		Digest: c.digest, Version: c.version, Router: c.router, Target: c.target, State: c.state,
		Status: c.outcome.status, Header: c.outcome.header, BodyOmitted: c.outcome.bodyOmitted,
		Body: base64.StdEncoding.EncodeToString(c.outcome.body), At: c.at, SettledBy: c.settledBy,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Claim) UnmarshalJSON(raw []byte) error {
	var b claimBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return fmt.Errorf("Claim.UnmarshalJSON: %w", err)
	}
	body, err := base64.StdEncoding.DecodeString(b.Body)
	if err != nil {
		return fmt.Errorf("Claim.UnmarshalJSON: body: %w", err)
	}
	switch b.State {
	case Claimed, Released, Finished:
	default:
		return fmt.Errorf("Claim.UnmarshalJSON: state: %q is unknown", b.State)
	}
	*c = Claim{
		workspace: b.Workspace, service: b.Service, key: b.Key, attempt: b.Attempt,
		digest: b.Digest, version: b.Version, router: b.Router, target: b.Target, state: b.State,
		outcome: Outcome{status: b.Status, header: b.Header, body: body, bodyOmitted: b.BodyOmitted},
		at:      b.At, settledBy: b.SettledBy,
	}
	return nil
}
