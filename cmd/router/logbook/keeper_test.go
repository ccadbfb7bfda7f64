package logbook

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example/defect"
	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

func init() { logx.Disable() }

const (
	part        = defect.Part(7)
	waitTimeout = 5 * time.Second
)

// book is a Keeper with its Tracker.
type book struct {
	*Keeper
	tracker *defect.Tracker
	epoch   atomic.Uint64
	stop    context.CancelFunc
}

// open starts a Keeper, as a router does that starts.
func open(t *testing.T, store *platformtest.Store, keeps bool) *book {
	client := reception.NewClient("store", reception.WithConnectTimeout(time.Second))
	b := &book{tracker: defect.NewTracker()}
	b.Keeper = New(schedule.NewSystem(), hclog.NewNullLogger(), platform.NewStore(platform.SharedClient(client), store.Address()),
		b.tracker, func() bool { return keeps })
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	t.Cleanup(cancel)
	go b.Run(ctx, b.epoch.Load)
	return b
}

// crash records crashes of three targets, and says so as a router does.
func (b *book) crash() {
	now := time.Now()
	for target := range defect.TargetKey(3) {
		b.tracker.RecordCrash([]defect.Subject{part}, target, now.Add(-time.Second), now.Add(-time.Second))
	}
	b.Changed(b.tracker.KeptOf([]defect.Subject{part}, now))
}

func (b *book) blocked() bool {
	_, blocked := b.tracker.Blocked([]defect.Subject{part}, time.Now())
	return blocked
}

func newStore(t *testing.T) *platformtest.Store {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	return store
}

func requireRows(t *testing.T, store *platformtest.Store, n int) {
	require.Eventually(t, func() bool { return len(store.Keys("defects")) == n }, waitTimeout, time.Millisecond)
}

// TestEvidenceOutlastsAllRouters guards against what crashes targets being learnt anew by crashes after
// all routers were killed.
func TestEvidenceOutlastsAllRouters(t *testing.T) {
	store := newStore(t)
	first := open(t, store, false)
	require.Eventually(t, first.Known, waitTimeout, time.Millisecond)
	first.crash()
	requireRows(t, store, 1)
	first.stop()

	next := open(t, store, true)
	require.Eventually(t, next.Known, waitTimeout, time.Millisecond)
	require.True(t, next.blocked(), "known before it may serve")

	next.Changed(next.tracker.RecordSound([]defect.Subject{part}, time.Now()))
	requireRows(t, store, 0)
}

// TestEvidenceWhileStoreIsAway guards against evidence being lost that the store didn't take at once, and
// against serving before what the store has is known.
func TestEvidenceWhileStoreIsAway(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"silent": platformtest.Unresponsive, "busy": platformtest.Unavailable} {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			b := open(t, store, false)
			require.Eventually(t, b.Known, waitTimeout, time.Millisecond)
			store.SetFault(fault)
			b.crash()
			next := open(t, store, false)
			time.Sleep(2 * callTimeout)
			require.False(t, next.Known())
			store.SetFault(platformtest.NoFault)
			requireRows(t, store, 1)
			require.Eventually(t, next.Known, waitTimeout, time.Millisecond)
		})
	}
}

// TestRowsAreBroughtInLine guards against a row that is lost with the store's copy, and against one that
// is void blocking sound requests for good.
func TestRowsAreBroughtInLine(t *testing.T) {
	tests := map[string]struct {
		crashes bool
		change  func(*platformtest.Store, *book)
		want    int
	}{
		"another router heard of it": {true, func(*platformtest.Store, *book) {}, 1},
		"the store lost the row": {true, func(s *platformtest.Store, b *book) {
			requireRows(t, s, 1)
			s.Delete("defects", keyOf(part))
			s.SetEpoch(2)
			b.epoch.Store(2)
		}, 1},
		"a copy has a row that is void": {false, func(s *platformtest.Store, b *book) {
			old := defect.Report{Subject: part, ClearedAge: -1, CompletedAge: -1, Crashes: []defect.Crash{{Target: 1, Age: time.Hour, SentAge: time.Hour}}}
			value, err := encodeRow(old, 1)
			require.NoError(t, err)
			s.Put("defects", keyOf(part), value)
			s.SetEpoch(2)
			b.epoch.Store(2)
		}, 0},
		"a row that no router wrote": {false, func(s *platformtest.Store, b *book) {
			s.Put("defects", "part-x", []byte("not a row"))
			s.SetEpoch(2)
			b.epoch.Store(2)
		}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			b := open(t, store, true)
			require.Eventually(t, b.Known, waitTimeout, time.Millisecond)
			if tt.crashes {
				now := time.Now()
				for target := range defect.TargetKey(3) {
					b.tracker.RecordCrash([]defect.Subject{part}, target, now, now)
				}
			}
			tt.change(store, b)
			requireRows(t, store, tt.want)
			require.Equal(t, tt.crashes, b.blocked())
		})
	}
}

// TestRowIsCheckedAndAges guards against a row of another subject or of none blocking a sound part, and
// against evidence that stays young in the store.
func TestRowIsCheckedAndAges(t *testing.T) {
	report := defect.Report{Subject: part, ClearedAge: -1, CompletedAge: time.Second, Crashes: []defect.Crash{
		{Target: 1, Age: time.Second, SentAge: 2 * time.Second, Stage: defect.Waiting, Round: 2},
		{Target: 2, Age: time.Second, SentAge: time.Second},
		{Target: 3, Age: time.Second, SentAge: time.Second, Stage: defect.Running, Round: 1},
	}}
	value, err := encodeRow(report, 1000)
	require.NoError(t, err)
	for name, key := range map[string]string{"another part": keyOf(part + 1), "a request": keyOf(defect.Request(part))} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeRow(key, value, 1000)
			var rowErr *RowError
			require.ErrorAs(t, err, &rowErr)
		})
	}
	got, err := decodeRow(keyOf(part), value, 61_000)
	require.NoError(t, err)
	require.Negative(t, got.ClearedAge)
	require.Equal(t, 61*time.Second, got.CompletedAge)
	require.ElementsMatch(t, []defect.Crash{
		{Target: 1, Age: 61 * time.Second, SentAge: 62 * time.Second, Stage: defect.Waiting, Round: 2},
		{Target: 2, Age: 61 * time.Second, SentAge: 61 * time.Second},
		{Target: 3, Age: 61 * time.Second, SentAge: 61 * time.Second, Stage: defect.Running, Round: 1},
	}, got.Crashes)
	behind, err := decodeRow(keyOf(part), value, 1)
	require.NoError(t, err, "a clock that was set back")
	require.Equal(t, time.Second, behind.CompletedAge)
}

// TestServesWithoutAnswer guards against a router that waits for good for what nobody tells it.
func TestServesWithoutAnswer(t *testing.T) {
	k := New(schedule.NewSystem(), hclog.NewNullLogger(), nil, defect.NewTracker(), func() bool { return false })
	now := time.Now()
	k.LimitWait(now)
	k.LimitWait(now.Add(KnownTimeout - 1))
	require.False(t, k.Known())
	k.LimitWait(now.Add(KnownTimeout))
	require.True(t, k.Known())
}
