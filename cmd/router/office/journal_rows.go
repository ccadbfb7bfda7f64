package office

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/ledger"
)

const (
	// maxPendingRows is the maximum number of rows that wait to be written.
	maxPendingRows = 10000
	rowsPerFlush   = 100
	minRowDelay    = 250 * time.Millisecond
	maxRowDelay    = 10 * time.Second
	flushTimeout   = 2 * time.Second
)

// storeOutcome updates a claim with its outcome and retries until that is written.
func (j *journal) storeOutcome(c ledger.Claim, revision uint64) {
	j.add(pendingRow{update: ledger.NewClaimUpdate(c, revision)})
}

// releaseClaim releases a claim that was not dispatched. Its row is read first, since
// it is unknown whether the claim was written.
func (j *journal) releaseClaim(c ledger.Claim) {
	j.add(pendingRow{update: ledger.NewClaimUpdate(c, 0)})
}

func (j *journal) add(row pendingRow) {
	row.due = j.clock.Now()
	j.mu.Lock()
	full := len(j.pending) >= maxPendingRows
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

// pendingRows returns the number of rows that wait or are being written.
func (j *journal) pendingRows() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.pending) + j.writing
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
	j.writing += len(due)
	return due
}

func (j *journal) flushRow(row pendingRow) {
	ctx, done := detachedContext(flushTimeout)
	defer done()
	updated := j.updateClaim(ctx, row.update)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writing--
	if updated {
		return
	}
	row.delay = min(max(2*row.delay, minRowDelay), maxRowDelay)
	row.due = j.clock.Now().Add(row.delay)
	j.pending = append(j.pending, row)
}

// updateClaim makes one attempt and reports whether the update is done.
func (j *journal) updateClaim(ctx context.Context, a *ledger.ClaimUpdate) bool {
	effect := a.Handle(ledger.UpdateStarted{})
	for {
		switch e := effect.(type) {
		case ledger.ReadRow:
			effect = a.Handle(j.readRow(ctx, e.Key))
		case ledger.WriteRow:
			effect = a.Handle(j.writeRow(ctx, e))
		case ledger.UpdateDone:
			meter.Count("journal_rows", "state", string(a.Claim().State()))
			return true
		default:
			return false
		}
	}
}

func (j *journal) readRow(ctx context.Context, key string) ledger.UpdateEvent {
	switch e := j.readClaim(ctx, key).(type) {
	case ledger.ClaimExists:
		return ledger.RowFound(e)
	case ledger.ClaimNotFound:
		return ledger.RowNotFound{}
	default:
		return ledger.RowFailed{}
	}
}

func (j *journal) writeRow(ctx context.Context, e ledger.WriteRow) ledger.UpdateEvent {
	result, err := j.write(ctx, e.Claim, e.Revision)
	switch {
	case err != nil:
		return ledger.RowFailed{}
	case !result.Written():
		return ledger.RowConflict{}
	}
	return ledger.RowWritten{}
}

// write writes a claim if its row has the revision; revision 0 requires that the row
// does not exist.
func (j *journal) write(ctx context.Context, c ledger.Claim, revision uint64) (depot.Result, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return depot.Result{}, depot.NewUnavailableError("write", false, err)
	}
	var condition depot.Condition = depot.Absent{}
	if revision > 0 {
		condition = depot.AtRevision{Revision: revision}
	}
	return j.writer.write(ctx, depot.NewWrite(c.TableKey(), raw, condition))
}
