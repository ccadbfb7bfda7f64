package office

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/ledger"
	"vanillalug.example/schedule"
)

const (
	// claimTimeout is how long a claim's write or read may take.
	claimTimeout = 800 * time.Millisecond
	// outTime is how long the table counts as out after a failure.
	outTime = 500 * time.Millisecond
)

// journal keeps the claims of non-idempotent calls in the platform's table.
type journal struct {
	clock  schedule.Clock
	table  depot.Table
	log    hclog.Logger
	writer *groupWriter

	mu       sync.Mutex
	outUntil time.Time
	pending  []pendingRow
	writing  int
}

// pendingRow is a row that is still to be amended.
type pendingRow struct {
	amendment *ledger.ClaimUpdate
	delay     time.Duration
	due       time.Time
}

func newJournal(clock schedule.Clock, table depot.Table, log hclog.Logger) *journal {
	return &journal{clock: clock, table: table, log: log, writer: newGroupWriter(table)}
}

// claim writes a claim and tells what became of it. While the table is out it
// does not try.
func (j *journal) claim(ctx context.Context, e ledger.StoreClaim) ledger.Event {
	if j.isOut() {
		meter.Count("claims", "result", "table-out")
		return ledger.ClaimNotWritten{}
	}
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer done()
	result, err := j.write(ctx, e.Claim, e.Revision)
	if err != nil {
		return j.claimFailed(err)
	}
	if result.Written() {
		meter.Count("claims", "result", "stored")
		return ledger.ClaimStored{Revision: result.Revision()}
	}
	meter.Count("claims", "result", "exists")
	return claimEvent(result.Current())
}

func (j *journal) claimFailed(err error) ledger.Event {
	j.setOut()
	var out *depot.UnavailableError
	if errors.As(err, &out) && !out.MaybeApplied() {
		meter.Count("claims", "result", "not-written")
		return ledger.ClaimNotWritten{}
	}
	meter.Count("claims", "result", "lost")
	return ledger.ClaimResponseLost{}
}

// read reads a claim back.
func (j *journal) read(ctx context.Context, key string) ledger.Event {
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

func (j *journal) isOut() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Now().Before(j.outUntil)
}

func (j *journal) setOut() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outUntil = j.clock.Now().Add(outTime)
}

// FlushJournal writes the rows of the journal that are due.
func (o *Router) FlushJournal(now time.Time) { o.journal.Flush(now) }
