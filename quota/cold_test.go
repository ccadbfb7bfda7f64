package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestColdTable guards against an older statement ending the coldness of a target that a later one
// states, whichever way the two come.
func TestColdTable(t *testing.T) {
	const target, rate, long = TargetKey(1), 4.0, 20 * time.Second
	say := func(remaining time.Duration) ColdStatement {
		return ColdStatement{Target: target, Remaining: remaining, Rate: rate}
	}
	entry := func(sequence int64, remaining time.Duration) func(*Table, time.Time) {
		return func(table *Table, now time.Time) {
			table.ObserveEntry(say(remaining), EntryOrder{Sequence: sequence}, now)
		}
	}
	response := func(remaining time.Duration) func(*Table, time.Time) {
		return func(table *Table, now time.Time) { table.ObserveCold(say(remaining), now) }
	}
	reported := func(remaining, age time.Duration) func(*Table, time.Time) {
		return func(table *Table, now time.Time) {
			table.RecordColdFromPeer([]ColdReport{{say(remaining), age}}, now)
		}
	}
	belief := func(remaining time.Duration) func(*Table, time.Time) {
		return func(table *Table, now time.Time) { table.RecordBelief(say(remaining), now) }
	}
	presume := func(table *Table, now time.Time) { table.Presume(say(long), now) }
	place := func(table *Table, now time.Time) { table.PresumePlace(say(long), now) }
	type calls []func(*Table, time.Time)
	tests := map[string]struct {
		// calls come half a second after each other.
		calls calls
		cold  bool
	}{
		"nothing known":                                  {nil, false},
		"an entry says cold":                             {calls{entry(1, long)}, true},
		"an entry says warm":                             {calls{entry(1, 0)}, false},
		"a later entry says warm":                        {calls{entry(1, long), entry(2, 0)}, false},
		"an older entry says warm":                       {calls{entry(2, long), entry(1, 0)}, true},
		"an older entry says cold":                       {calls{entry(2, 0), entry(1, long)}, false},
		"a later entry says cold again":                  {calls{entry(1, long), entry(2, 0), entry(3, long)}, true},
		"presumed":                                       {calls{presume}, true},
		"presumed, then an entry says warm":              {calls{presume, entry(1, 0)}, false},
		"presumed, then a peer was told that it is warm": {calls{presume, reported(0, time.Minute)}, false},
		"presumed, a peer believes that it is warm":      {calls{presume, belief(0)}, false},
		"stated warm, then presumed":                     {calls{entry(1, 0), presume}, false},
		"a peer presumes":                                {calls{reported(long, maxColdAge)}, true},
		"a peer presumes, stated warm":                   {calls{entry(1, 0), reported(long, maxColdAge)}, false},
		"a response says cold, an entry of before warm":  {calls{response(long), entry(1, 0)}, true},
		"the entry after that says warm":                 {calls{response(long), entry(1, 0), entry(2, 0), entry(3, 0), entry(4, 0), entry(5, 0)}, false},
		"a response says warm":                           {calls{entry(1, long), response(0)}, false},
		"a peer was told later that it is cold":          {calls{response(0), reported(long, 0)}, true},
		"a peer was told earlier that it is cold":        {calls{response(0), reported(long, time.Second)}, false},
		"a peer was told earlier that it is warm":        {calls{response(long), reported(0, time.Second)}, true},
		"a peer was told later that it is warm":          {calls{response(long), reported(0, 0)}, false},
		"a peer believes that it is warm":                {calls{response(long), belief(0)}, true},
		"a peer believes that it is cold":                {calls{response(0), belief(long)}, true},
		"the place is restored":                          {calls{entry(1, 0), place}, true},
		"the place is restored, an entry of before":      {calls{entry(1, 0), place, entry(2, 0)}, true},
		"the place is restored, a response":              {calls{entry(1, 0), place, response(0)}, false},
		"a report of the future":                         {calls{reported(long, -time.Second)}, false},
		"a report of no time":                            {calls{reported(-long, 0)}, false},
		"it ends":                                        {calls{response(time.Second), presume, presume, presume}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := NewTable(), start
			for _, call := range tt.calls {
				now = now.Add(500 * time.Millisecond)
				call(table, now)
			}
			require.Equal(t, tt.cold, table.LimitAt(target, now).Cold())
			require.Equal(t, tt.cold, table.LimitAt(target, now).NeedsPermit())
			require.False(t, table.LimitAt(target, now.Add(long)).Cold(), "it ends")
			remaining, _ := table.ColdFor(target, now)
			require.Equal(t, tt.cold, remaining > 0)
			require.False(t, table.Limit(target).NeedsPermit(), "what a target names is another limit")
		})
	}
}

// TestColdBounds guards against absurd figures keeping a target cold without end, and against
// statements about targets that nobody uses filling the memory.
func TestColdBounds(t *testing.T) {
	table := NewTable()
	table.ObserveCold(ColdStatement{Target: 1, Remaining: math.MaxInt64, Rate: 1}, start)
	require.True(t, table.LimitAt(1, start.Add(MaxCold-1)).Cold())
	require.False(t, table.LimitAt(1, start.Add(MaxCold)).Cold())
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		table.RecordColdFromPeer([]ColdReport{{ColdStatement{Target: 2, Remaining: time.Minute, Rate: rate}, 0}}, start)
		require.False(t, table.LimitAt(2, start).Cold())
	}
	for i := range TargetKey(2 * maxColdTargets) {
		table.ObserveCold(ColdStatement{Target: i + 10, Remaining: time.Minute, Rate: 1}, start)
	}
	require.LessOrEqual(t, len(table.cold), maxColdTargets)
	require.Len(t, table.OwnColdReports(start), MaxReports)
	table.RetainCold(func(k TargetKey) bool { return k == 1 }, start.Add(coldRetention+1))
	require.Len(t, table.cold, 1)
}

// TestColdNews guards against peers not being told of a target that became cold or is warm before its
// time, and against a calm fleet telling them of each heartbeat.
func TestColdNews(t *testing.T) {
	table, now := NewTable(), start
	entry := func(sequence int64, remaining time.Duration) bool {
		now = now.Add(time.Second)
		return table.ObserveEntry(ColdStatement{Target: 1, Remaining: remaining, Rate: 1}, EntryOrder{Sequence: sequence}, now)
	}
	require.False(t, entry(1, 0))
	require.Empty(t, table.OwnColdReports(now))
	require.True(t, entry(2, 9*time.Second))
	require.False(t, entry(3, 8*time.Second), "told once")
	require.Equal(t, []ColdReport{{ColdStatement{Target: 1, Remaining: 8 * time.Second, Rate: 1}, time.Second}}, table.OwnColdReports(now))
	entry(4, 0)
	require.Len(t, table.OwnColdReports(now), 1, "it is warm before its time")
	require.Zero(t, table.OwnColdReports(now)[0].Remaining)
	for n := range int64(10) {
		entry(5+n, 0)
	}
	require.Empty(t, table.OwnColdReports(now))
	table.RecordColdFromPeer([]ColdReport{{ColdStatement{Target: 2, Remaining: time.Minute, Rate: 1}, 0}}, now)
	require.Empty(t, table.OwnColdReports(now), "peers tell only what they learned themselves")
}

// TestColdPermitsAgainstOracle guards against a target getting more than its bound in any second from
// one issuer, with requests that wait, are sent as late as their permits allow, and are delayed.
func TestColdPermitsAgainstOracle(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 4))
		perSecond := []float64{0.3, 1, 4, 20}[seed%4]
		issuer, now := NewIssuer(), start
		arrivals := map[int64]int{}
		const bucket = 10 * time.Millisecond
		for now.Sub(start) < 30*time.Second {
			now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			if rng.IntN(300) == 0 {
				now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			limit := Limit{}.AsCold(perSecond)
			if rng.IntN(5) == 0 {
				limit = limit.AsCold(perSecond * minorityShare)
			}
			permit := issuer.Take(1, limit, time.Duration(rng.IntN(5000))*time.Millisecond, now)
			if !permit.Granted {
				continue
			}
			require.LessOrEqual(t, permit.Wait, MaxColdWait)
			at := now.Add(permit.Wait + time.Duration(rng.Int64N(int64(MaxColdPermitAge+100*time.Millisecond))))
			arrivals[int64(at.Sub(start)/bucket)]++
		}
		for first := range int64(32 * time.Second / bucket) {
			n := 0
			for i := first; i < first+int64(time.Second/bucket); i++ {
				n += arrivals[i]
			}
			require.LessOrEqual(t, float64(n), 1.5*perSecond+5, "seed %d", seed)
		}
	}
}

// TestColdIssuer checks that a new issuer has no permits, that few are kept after a pause, and that of a
// cold target that names a limit, too, the stricter counts.
func TestColdIssuer(t *testing.T) {
	count := func(limit Limit, calm time.Duration) (n int) {
		issuer := NewIssuer()
		require.False(t, issuer.Take(1, limit, 0, start).Granted, "a new issuer has none")
		for issuer.Take(1, limit, 0, start.Add(calm)).Granted {
			n++
		}
		return n
	}
	require.Equal(t, coldBurst, count(Limit{}.AsCold(10), 20*time.Second))
	require.Equal(t, 1, count(Limit{}.AsCold(10), 100*time.Millisecond))
	require.Equal(t, 0, count(NewLimit(1).AsCold(10), 500*time.Millisecond))
	require.Equal(t, 0, count(NewLimit(10).AsCold(1), 500*time.Millisecond))
	issuer := NewIssuer()
	issuer.Take(1, NewLimit(1).AsCold(10), 0, start)
	require.False(t, issuer.Take(1, NewLimit(1).AsCold(10), 0, start.Add(500*time.Millisecond)).Granted)
	require.True(t, issuer.Take(1, Limit{}.AsCold(10), 0, start.Add(500*time.Millisecond)).Granted, "a denial costs none")
	issuer.Expire(start.Add(time.Hour))
	require.Empty(t, issuer.cold)
}

// TestDuty guards against routers issuing a rate each that don't hear each other, have just started,
// stood still, or know that another one comes first.
func TestDuty(t *testing.T) {
	const target, settle = TargetKey(1), 2 * time.Second
	first, second := "r1", "r2"
	if d := (&Duty{}); true {
		d.Tick(2, 2, start)
		d.Tick(2, 2, start.Add(maxTickGap))
		d.Tick(2, 2, start.Add(2*maxTickGap))
		if d.Share(target, Standing{Name: first, Heard: []string{second}, SettleTime: settle}, start.Add(2*maxTickGap)) == 0 {
			first, second = second, first
		}
	}
	type tick struct {
		at           time.Duration
		heard, known int
	}
	steady := func(heard, known int) (out []tick) {
		for at := time.Duration(0); at <= 5*time.Second; at += 500 * time.Millisecond {
			out = append(out, tick{at, heard, known})
		}
		return out
	}
	tests := map[string]struct {
		ticks []tick
		name  string
		heard []string
		at    time.Duration
		want  float64
	}{
		"hears all":                       {steady(4, 4), first, []string{second}, 5 * time.Second, 1},
		"is alone":                        {steady(1, 1), first, nil, 5 * time.Second, 1},
		"never ticked":                    {nil, first, nil, 5 * time.Second, 0},
		"has just started":                {steady(4, 4)[:3], first, []string{second}, time.Second, 0},
		"another one comes first":         {steady(4, 4), second, []string{first}, 5 * time.Second, 0},
		"the other one was not heard":     {steady(3, 4), second, nil, 5 * time.Second, 1},
		"hears half":                      {steady(2, 4), first, nil, 5 * time.Second, minorityShare},
		"hears a quarter":                 {steady(1, 4), first, nil, 5 * time.Second, 0},
		"heard a quarter a moment ago":    {append(steady(1, 4), tick{5500 * time.Millisecond, 4, 4}), first, nil, 6 * time.Second, 0},
		"heard half a moment ago":         {append(steady(2, 4), tick{5500 * time.Millisecond, 4, 4}), first, nil, 6 * time.Second, minorityShare},
		"stands still":                    {steady(4, 4), first, nil, 5*time.Second + maxTickGap + 1, 0},
		"stood still":                     {append(steady(4, 4), tick{7 * time.Second, 4, 4}), first, nil, 7 * time.Second, 0},
		"stood still, and the time is up": {append(steady(4, 4), tick{7 * time.Second, 4, 4}, tick{8 * time.Second, 4, 4}, tick{9 * time.Second, 4, 4}), first, nil, 9 * time.Second, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Duty{}
			for _, tick := range tt.ticks {
				d.Tick(tick.heard, tick.known, start.Add(tick.at))
			}
			require.InDelta(t, tt.want, d.Share(target, Standing{Name: tt.name, Heard: tt.heard, SettleTime: settle}, start.Add(tt.at)), 0)
		})
	}
}
