package office

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/ledger"
	"vanillalug.example/schedule"
)

const (
	// claimTimeout is the timeout for writing or reading a claim.
	claimTimeout = 800 * time.Millisecond
	// outageTime is how long the table counts as unavailable after a failure.
	outageTime = 500 * time.Millisecond
)

// journal stores the claims of non-idempotent calls in the platform's table.
type journal struct {
	clock  schedule.Clock
	table  depot.Table
	writer *groupWriter

	mu               sync.Mutex
	unavailableUntil time.Time
	pending          []pendingRow
	writing          int
}

// pendingRow is a row with an update that is not written yet.
type pendingRow struct {
	update *ledger.ClaimUpdate
	delay  time.Duration
	due    time.Time
}

func newJournal(clock schedule.Clock, table depot.Table) *journal {
	return &journal{clock: clock, table: table, writer: newGroupWriter(table)}
}

// storeClaim writes a claim and returns the outcome. It does not try while the table
// counts as unavailable.
func (j *journal) storeClaim(ctx context.Context, e ledger.StoreClaim) ledger.Event {
	if j.isUnavailable() {
		meter.Count("claims", "result", "table-out")
		return ledger.ClaimNotWritten{}
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer done()
	result, err := j.write(ctx, e.Claim, e.Revision)
	if err != nil {
		return j.claimError(err)
	}
	if result.Written() {
		meter.Count("claims", "result", "stored")
		return ledger.ClaimStored{Revision: result.Revision()}
	}
	meter.Count("claims", "result", "exists")
	return claimEvent(result.Current())
}

func (j *journal) claimError(err error) ledger.Event {
	j.setUnavailable()
	var unavailable *depot.UnavailableError
	if errors.As(err, &unavailable) && !unavailable.MaybeApplied() {
		meter.Count("claims", "result", "not-written")
		return ledger.ClaimNotWritten{}
	}
	meter.Count("claims", "result", "lost")
	return ledger.ClaimResponseLost{}
}

// readClaim reads a claim.
func (j *journal) readClaim(ctx context.Context, key string) ledger.Event {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer done()
	row, err := j.table.Get(ctx, key)
	var missing *depot.NotFoundError
	switch {
	case errors.As(err, &missing):
		return ledger.ClaimNotFound{}
	case err != nil:
		return ledger.ClaimReadFailed{}
	}
	return claimEvent(row)
}

func claimEvent(row depot.Row) ledger.Event {
	if row.Revision() == 0 {
		return ledger.ClaimNotFound{}
	}
	var c ledger.Claim
	if err := json.Unmarshal(row.Value(), &c); err != nil {
		return ledger.ClaimReadFailed{}
	}
	return ledger.ClaimExists{Claim: c, Revision: row.Revision()}
}

func (j *journal) isUnavailable() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Now().Before(j.unavailableUntil)
}

func (j *journal) setUnavailable() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unavailableUntil = j.clock.Now().Add(outageTime)
}

// FlushJournal writes the pending rows of the journal that are due.
func (r *Router) FlushJournal(now time.Time) { r.journal.Flush(now) }
