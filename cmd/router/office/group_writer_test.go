package office

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/depot"
	"vanillalug.example/ledger"
	"vanillalug.example/schedule"
)

// fakeTable is an in-memory table. While unavailable is set, every operation fails
// without an effect; while loseResponses is set, writes take effect but their
// responses are lost.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]depot.Row
	groups        int
	writes        int
	unavailable   bool
	loseResponses bool
	wait          chan struct{}
	// received counts the writes received, including those that are blocked by wait.
	received atomic.Int64
}

var errUnavailable = errors.New("out")

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]depot.Row{}} }

func (f *fakeTable) Get(_ context.Context, key string) (depot.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return depot.Row{}, depot.NewUnavailableError("Get", false, errUnavailable)
	}
	row, ok := f.rows[key]
	if !ok {
		return row, depot.NewNotFoundError(key)
	}
	return row, nil
}

func (f *fakeTable) Write(_ context.Context, writes []depot.Write) ([]depot.Result, error) {
	f.received.Add(int64(len(writes)))
	if f.wait != nil {
		<-f.wait
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups++
	f.writes += len(writes)
	if f.unavailable {
		return nil, depot.NewUnavailableError("Write", false, errUnavailable)
	}
	var out []depot.Result
	for _, w := range writes {
		out = append(out, f.apply(w))
	}
	if f.loseResponses {
		return nil, depot.NewUnavailableError("Write", true, errUnavailable)
	}
	return out, nil
}

func (f *fakeTable) apply(w depot.Write) depot.Result {
	old := f.rows[w.Key()]
	if !depot.Holds(w.Condition(), old.Revision()) {
		return depot.NewRejected(old)
	}
	row := depot.NewRow(w.Key(), w.Value(), old.Revision()+1)
	f.rows[w.Key()] = row
	return depot.NewWritten(row.Revision())
}

func (f *fakeTable) Transact(context.Context, []depot.Write) error { return nil }

func (f *fakeTable) List(context.Context, string, string, int) ([]depot.Row, error) {
	return nil, nil
}

func (f *fakeTable) set(unavailable, loseResponses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable, f.loseResponses = unavailable, loseResponses
}

// TestWritesAreGrouped tests that writes that arrive while a group is in flight are
// sent together: 129 writes, of which the first group blocks the others, make three
// groups, whatever the size of the first.
func TestWritesAreGrouped(t *testing.T) {
	const writes = 129
	table := newFakeTable()
	table.wait = make(chan struct{})
	g := newGroupWriter(table)
	var wg sync.WaitGroup
	for i := range writes {
		wg.Go(func() {
			r, err := g.write(context.Background(), depot.NewWrite(fmt.Sprint(i), nil, depot.Absent{}))
			require.NoError(t, err)
			require.True(t, r.Written())
		})
	}
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		begun := table.received.Load()
		return begun > 0 && int(begun)+len(g.queue) == writes
	}, time.Minute, time.Millisecond)
	close(table.wait)
	wg.Wait()
	require.Equal(t, writes, table.writes)
	require.Equal(t, 3, table.groups)
}

func newTestJournal() (*journal, *fakeTable, *schedule.Fake) {
	table := newFakeTable()
	clock := schedule.NewFake(time.Now())
	return newJournal(clock, table), table, clock
}

// TestClaimsFailFastDuringTableOutage tests that claims fail immediately, without a
// write, while the table counts as unavailable.
func TestClaimsFailFastDuringTableOutage(t *testing.T) {
	j, table, clock := newTestJournal()
	claim := ledger.StoreClaim{Claim: ledger.NewClaim("w", "s", "k", ledger.WithAttempt("a"))}
	table.set(true, false)
	require.Equal(t, ledger.ClaimNotWritten{}, j.storeClaim(context.Background(), claim))
	require.Equal(t, ledger.ClaimNotWritten{}, j.storeClaim(context.Background(), claim))
	require.Equal(t, 1, table.groups)
	table.set(false, false)
	clock.Advance(outageTime)
	require.Equal(t, ledger.ClaimStored{Revision: 1}, j.storeClaim(context.Background(), claim))
}

// TestPendingRowsAreWrittenAfterOutage tests that rows that could not be written
// during an outage are written afterwards.
func TestPendingRowsAreWrittenAfterOutage(t *testing.T) {
	j, table, clock := newTestJournal()
	claim := ledger.NewClaim("w", "s", "k", ledger.WithAttempt("a"))
	table.set(false, true)
	require.Equal(t, ledger.ClaimResponseLost{}, j.storeClaim(context.Background(), ledger.StoreClaim{Claim: claim}))
	table.set(true, false)
	j.releaseClaim(claim.Settle(false, ""))
	require.Equal(t, 1, j.pendingRows())
	table.set(false, false)
	for j.pendingRows() > 0 {
		clock.Advance(maxRowDelay)
		j.Flush(clock.Now())
	}
	got, ok := j.readClaim(context.Background(), claim.TableKey()).(ledger.ClaimExists)
	require.True(t, ok)
	require.Equal(t, ledger.Released, got.Claim.State())
}
