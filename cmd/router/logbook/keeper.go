package logbook

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/defect"
	"vanillalug.example/platform"
	"vanillalug.example/schedule"
)

const (
	// callTimeout is how long a call to the store may take.
	callTimeout = 1500 * time.Millisecond
	// retryInterval is the time between two calls after one that failed, and the least time between
	// two writes of this router.
	retryInterval = 200 * time.Millisecond
	// checkInterval is the time between two checks whether the rows are in line with what is known.
	checkInterval = time.Second
	// readInterval is how long the router that keeps the rows relies on what it has read.
	readInterval = time.Minute
	// KnownTimeout is how long a router that could serve waits to learn what crashes targets.
	KnownTimeout = 5 * time.Second
)

// Keeper keeps the evidence of one router and the store's rows in line. It is safe for concurrent use.
type Keeper struct {
	clock   schedule.Clock
	log     hclog.Logger
	store   *platform.Store
	tracker *defect.Tracker
	// keeps reports whether this router is the one that brings the rows in line.
	keeps func() bool
	wake  chan struct{}
	// known says that this router has learnt what outlasted a restart, or waits no longer.
	known        atomic.Bool
	waitingSince atomic.Pointer[time.Time]

	mu sync.Mutex
	// changed has the subjects whose rows this router has to write or to remove.
	changed map[defect.Subject]bool

	// rows are those that were last read, by key; only Run uses them and the fields below.
	rows  map[string]platform.Row
	epoch uint64
	// staleAt is when the rows have to be read again.
	staleAt time.Time
	// storeMillis is the time of the store's clock at clockRead.
	storeMillis int64
	clockRead   time.Time
}

// New returns a Keeper; Run reads the rows. keeps reports whether this router is the one that brings
// the rows in line.
func New(clock schedule.Clock, log hclog.Logger, store *platform.Store, tracker *defect.Tracker, keeps func() bool) *Keeper {
	return &Keeper{
		clock: clock, log: log, store: store, tracker: tracker, keeps: keeps,
		wake: make(chan struct{}, 1), changed: map[defect.Subject]bool{},
	}
}

// Known reports whether this router has learnt what outlasted a restart of all routers.
func (k *Keeper) Known() bool { return k.known.Load() }

// SetKnown says that a peer has told what it knows, which is all.
func (k *Keeper) SetKnown() { k.known.Store(true) }

// LimitWait ends the wait of a router that could serve otherwise, and is told nothing.
func (k *Keeper) LimitWait(now time.Time) {
	if k.Known() || k.waitingSince.CompareAndSwap(nil, &now) || now.Sub(*k.waitingSince.Load()) < KnownTimeout {
		return
	}
	k.log.Warn("serving without knowing what crashes targets, as neither the store nor a peer told", "after", KnownTimeout.String())
	k.SetKnown()
}

// Changed says that the evidence about subjects has changed at this router.
func (k *Keeper) Changed(subjects []defect.Subject) {
	if len(subjects) == 0 {
		return
	}
	k.mu.Lock()
	for _, s := range subjects {
		k.changed[s] = true
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run reads the rows, and then keeps them in line until the context ends. epoch returns the newest known
// epoch of the store.
func (k *Keeper) Run(ctx context.Context, epoch func() uint64) {
	for ctx.Err() == nil && !k.read(ctx) {
		k.sleep(ctx, retryInterval)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-time.After(checkInterval):
		}
		k.writeChanged(ctx)
		if k.keeps() {
			k.bringInLine(ctx, epoch())
		}
		k.sleep(ctx, retryInterval)
	}
}

func (k *Keeper) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read adds what the rows have to the evidence. It returns false if they can't be read.
func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reader := k.store.ReadDefects()
	for !reader.Done() {
		if err := reader.Next(ctx); err != nil {
			k.log.Warn("cannot read what crashes targets from the store", "error", err)
			return false
		}
	}
	rows, now := reader.Rows(), k.clock.Now()
	k.rows, k.epoch, k.staleAt = map[string]platform.Row{}, rows.Revision().Epoch(), now.Add(readInterval)
	k.storeMillis, k.clockRead = rows.NowMillis(), now
	var reports []defect.Report
	for _, row := range rows.All() {
		k.rows[row.Key()] = row
		report, err := decodeRow(row.Key(), row.Value(), k.storeMillis)
		if err != nil {
			k.log.Warn("ignored a row of what crashes targets", "row", row.Key(), "error", err)
			continue
		}
		reports = append(reports, report)
	}
	blocked := k.tracker.Recall(reports, now)
	if len(reports) > 0 || !k.Known() {
		k.log.Info("what crashes targets was read from the store", "rows", len(k.rows), "blocked", len(blocked), "revision", rows.Revision())
	}
	k.SetKnown()
	return true
}

// takeChanged returns the subjects to write.
func (k *Keeper) takeChanged() []defect.Subject {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]defect.Subject, 0, min(len(k.changed), platform.MaxDefectRows))
	for s := range k.changed {
		if len(out) == platform.MaxDefectRows {
			break
		}
		delete(k.changed, s)
		out = append(out, s)
	}
	return out
}

// writeChanged writes the rows of the subjects that have changed at this router; those that can't be
// written are tried again.
func (k *Keeper) writeChanged(ctx context.Context) {
	subjects := k.takeChanged()
	if len(subjects) == 0 {
		return
	}
	if !k.write(ctx, subjects) {
		k.Changed(subjects)
	}
}

// write writes the rows of subjects with evidence worth keeping, and removes those of others.
func (k *Keeper) write(ctx context.Context, subjects []defect.Subject) bool {
	now := k.clock.Now()
	values, removed := map[string][]byte{}, []string(nil)
	for _, s := range subjects {
		report, kept := k.tracker.ReportKept(s, now)
		if !kept {
			removed = append(removed, keyOf(s))
			continue
		}
		value, err := encodeRow(report, k.storeTime(now))
		if err != nil {
			k.log.Error("cannot encode what crashes targets", "error", err)
			continue
		}
		values[keyOf(s)] = value
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.store.WriteDefects(ctx, values, removed); err != nil {
		k.log.Warn("cannot write what crashes targets to the store", "rows", len(values), "removed", len(removed), "error", err)
		meter.CountBy("defect_writes", "result", "failed")
		return false
	}
	k.staleAt = time.Time{}
	meter.CountBy("defect_writes", "result", "written")
	k.log.Info("what crashes targets was written to the store", "rows", len(values), "removed", len(removed))
	return true
}

// storeTime returns the time of the store's clock; 0 if it never told.
func (k *Keeper) storeTime(now time.Time) int64 {
	if k.storeMillis == 0 {
		return 0
	}
	return k.storeMillis + now.Sub(k.clockRead).Milliseconds()
}

// bringInLine writes what this router knows and the store doesn't have, and removes what is void.
func (k *Keeper) bringInLine(ctx context.Context, epoch uint64) {
	now := k.clock.Now()
	kept := k.tracker.Kept(now)
	if len(kept) == 0 && len(k.rows) == 0 && k.epoch == epoch {
		return
	}
	if (k.epoch != epoch || !now.Before(k.staleAt)) && !k.read(ctx) {
		return
	}
	known := map[string]bool{}
	var missing []defect.Subject
	for _, s := range k.tracker.Kept(now) {
		known[keyOf(s)] = true
		if _, stored := k.rows[keyOf(s)]; !stored && len(missing) < platform.MaxDefectRows {
			missing = append(missing, s)
		}
	}
	if len(missing) > 0 {
		k.write(ctx, missing)
	}
	k.removeVoid(ctx, known)
}

// removeVoid removes the rows of subjects that are not known to crash targets any more.
func (k *Keeper) removeVoid(ctx context.Context, known map[string]bool) {
	var void []platform.Row
	for key, row := range k.rows {
		if !known[key] && len(void) < platform.MaxDefectRows {
			void = append(void, row)
		}
	}
	if len(void) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.store.RemoveDefects(ctx, void)
	k.staleAt = time.Time{}
	var status *platform.StatusError
	writtenAgain := errors.As(err, &status) && status.Status == http.StatusPreconditionFailed
	if err != nil && !writtenAgain {
		k.log.Warn("cannot remove what crashes no targets any more from the store", "rows", len(void), "error", err)
		return
	}
	k.log.Info("what crashes no targets any more was removed from the store", "rows", len(void))
}
