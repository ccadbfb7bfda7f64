package office

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/ledger"
	"vanillalug.example/platform"
	"vanillalug.example/schedule"
)

const (
	// claimTimeout is how long a claim's write or read may take.
	claimTimeout = 800 * time.Millisecond
	// outTime is how long the table counts as out after a failure.
	outTime = 500 * time.Millisecond
	// maxPending bounds the rows that wait to be written later.
	maxPending    = 10000
	rowsPerFlush  = 100
	firstRowDelay = 250 * time.Millisecond
	lastRowDelay  = 10 * time.Second
	flushTimeout  = 2 * time.Second
)

// journal keeps the claims of non-idempotent calls in the platform's table.
type journal struct {
	clock  schedule.Clock
	table  platform.Table
	log    hclog.Logger
	writer *groupWriter

	mu       sync.Mutex
	outUntil time.Time
	pending  []pendingRow
}

// pendingRow is a row that is still to be written over a claim. Revision 0
// says that the row has to be read first.
type pendingRow struct {
	claim    ledger.Claim
	revision uint64
	delay    time.Duration
	due      time.Time
}

func newJournal(clock schedule.Clock, table platform.Table, log hclog.Logger) *journal {
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
	raw, err := json.Marshal(e.Claim)
	if err != nil {
		return ledger.ClaimNotWritten{}
	}
	var condition platform.Condition = platform.Absent{}
	if e.Revision > 0 {
		condition = platform.AtRevision{Revision: e.Revision}
	}
	result, err := j.writer.write(ctx, platform.NewWrite(e.Claim.TableKey(), raw, condition))
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
	var out *platform.UnavailableError
	if errors.As(err, &out) && !out.MaybeDone() {
		meter.Count("claims", "result", "not-written")
		return ledger.ClaimNotWritten{}
	}
	meter.Count("claims", "result", "lost")
	return ledger.ClaimLost{}
}

// read reads a claim back.
func (j *journal) read(ctx context.Context, key string) ledger.Event {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer done()
	row, err := j.table.Get(ctx, key)
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		return ledger.ClaimAbsent{}
	case err != nil:
		return ledger.ClaimUnreadable{}
	}
	return claimEvent(row)
}

func claimEvent(row platform.Row) ledger.Event {
	if row.Revision() == 0 {
		return ledger.ClaimAbsent{}
	}
	var c ledger.Claim
	if err := json.Unmarshal(row.Value(), &c); err != nil {
		return ledger.ClaimUnreadable{}
	}
	return ledger.ClaimExists{Claim: c, Revision: row.Revision()}
}

// record writes an outcome over its claim, again until it is written.
func (j *journal) record(c ledger.Claim, revision uint64) {
	j.add(pendingRow{claim: c, revision: revision})
}

// withdraw releases a claim that was not dispatched, wherever it turns up.
func (j *journal) withdraw(c ledger.Claim) {
	j.add(pendingRow{claim: c})
}

func (j *journal) add(row pendingRow) {
	row.due = j.clock.Now()
	j.mu.Lock()
	full := len(j.pending) >= maxPending
	if !full {
		j.pending = append(j.pending, row)
	}
	j.mu.Unlock()
	if full {
		meter.Add("journal_rows_given_up", 1)
		return
	}
	if row.delay == 0 {
		go j.Flush(j.clock.Now())
	}
}

func (j *journal) pendingRows() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pending)
}

// Flush writes the pending rows that are due.
func (j *journal) Flush(now time.Time) {
	due := j.takeDue(now)
	var wg sync.WaitGroup
	for _, row := range due {
		wg.Go(func() { j.flushRow(row) })
	}
	wg.Wait()
}

func (j *journal) takeDue(now time.Time) []pendingRow {
	j.mu.Lock()
	defer j.mu.Unlock()
	var due, later []pendingRow
	for _, row := range j.pending {
		if len(due) < rowsPerFlush && !row.due.After(now) {
			due = append(due, row)
		} else {
			later = append(later, row)
		}
	}
	j.pending = later
	return due
}

func (j *journal) flushRow(row pendingRow) {
	ctx, done := background(flushTimeout)
	defer done()
	if j.writeRow(ctx, row) {
		return
	}
	row.delay = min(max(2*row.delay, firstRowDelay), lastRowDelay)
	j.mu.Lock()
	row.due = j.clock.Now().Add(row.delay)
	j.pending = append(j.pending, row)
	j.mu.Unlock()
}

// writeRow reports whether nothing is left to do for the row.
func (j *journal) writeRow(ctx context.Context, row pendingRow) bool {
	raw, err := json.Marshal(row.claim)
	if err != nil {
		return true
	}
	condition, open, err := j.rowCondition(ctx, row)
	if err != nil {
		return false
	}
	if !open {
		return true
	}
	result, err := j.writer.write(ctx, platform.NewWrite(row.claim.TableKey(), raw, condition))
	if err != nil {
		return false
	}
	if !result.Written() {
		return !j.isOwnClaim(result.Current(), row.claim)
	}
	meter.Count("journal_rows", "state", string(row.claim.State()))
	return true
}

// rowCondition returns the condition to write a row under; open says whether
// there is still something to write.
func (j *journal) rowCondition(ctx context.Context, row pendingRow) (condition platform.Condition, open bool, err error) {
	if row.revision > 0 && row.delay == 0 {
		return platform.AtRevision{Revision: row.revision}, true, nil
	}
	current, err := j.table.Get(ctx, row.claim.TableKey())
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Absent{}, true, nil
	}
	if err != nil {
		return nil, false, err
	}
	return platform.AtRevision{Revision: current.Revision()}, j.isOwnClaim(current, row.claim), nil
}

// isOwnClaim reports whether the row still is the open claim of the attempt.
func (j *journal) isOwnClaim(row platform.Row, c ledger.Claim) bool {
	exists, ok := claimEvent(row).(ledger.ClaimExists)
	return ok && exists.Claim.State() == ledger.Claimed && exists.Claim.Attempt() == c.Attempt()
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
func (o *Office) FlushJournal(now time.Time) { o.journal.Flush(now) }
