package ledger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
	"vanillalug.example/schedule"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// row is a row of the simulated table.
type row struct {
	claim    Claim
	revision uint64
}

// delayedWrite is a write whose response was lost and which may still take
// effect.
type delayedWrite struct {
	claim    Claim
	revision uint64
}

// attempt is one call, its next effect to perform and its observed result.
type attempt struct {
	call   *Call
	claim  Claim
	key    string
	body   string
	next   Effect
	runs   int
	result Result
	killed bool
}

// simulation holds the table, the target and the attempts. It counts the
// executions for each key and attempt; check compares the results with them.
type simulation struct {
	clock        *schedule.Fake
	table        map[string]row
	delayed      []delayedWrite
	updates      []*ClaimUpdate
	attempts     []*attempt
	effects      map[string]int
	responses    map[string]string
	recorded     map[string]Outcome
	outcomeQuery bool
}

func newSimulation(outcomeQuery bool) *simulation {
	return &simulation{
		clock: schedule.NewFake(start), table: map[string]row{}, effects: map[string]int{},
		responses: map[string]string{}, recorded: map[string]Outcome{}, outcomeQuery: outcomeQuery,
	}
}

// put performs a conditional write and reports whether it took effect.
func (s *simulation) put(c Claim, revision uint64) bool {
	old := s.table[c.TableKey()]
	if old.revision != revision {
		return false
	}
	s.table[c.TableKey()] = row{claim: roundTrip(c), revision: old.revision + 1}
	return true
}

func roundTrip(c Claim) Claim {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	var out Claim
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return out
}

func (s *simulation) submit(key, body string) {
	c := NewClaim("taller", "bookings", key,
		WithAttempt(fmt.Sprintf("attempt-%d", len(s.attempts))), WithDigest(body), WithTime(start))
	var opts []CallOption
	if s.outcomeQuery {
		opts = append(opts, WithOutcomeQuery())
	}
	a := &attempt{call: NewCall(s.clock, c, opts...), claim: c, key: key, body: body}
	s.attempts = append(s.attempts, a)
	s.apply(a, a.call.Handle(Begin{}))
}

// apply stores the result, queues background updates and keeps the effect to
// perform in the next step.
func (s *simulation) apply(a *attempt, effects []Effect) {
	a.next = nil
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			a.result = e.Result
		case ReleaseClaim:
			s.updates = append(s.updates, NewClaimUpdate(e.Claim, 0))
		case StoreOutcome:
			s.updates = append(s.updates, NewClaimUpdate(e.Claim, e.Revision))
		default:
			a.next = e
		}
	}
}

// step performs the next effect of an attempt, with a fault drawn by rapid.
func (s *simulation) step(t *rapid.T, a *attempt) {
	var ev Event
	switch e := a.next.(type) {
	case StoreClaim:
		ev = s.storeClaim(t, e)
	case ReadClaim:
		ev = s.readClaim(t, e.Key)
	case Dispatch:
		ev = s.dispatch(t, a)
	case QueryOutcome:
		ev = s.queryOutcome(t, e.Claim)
	}
	s.apply(a, a.call.Handle(ev))
}

func (s *simulation) storeClaim(t *rapid.T, e StoreClaim) Event {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "down", "lost-before", "lost-after", "late"}).Draw(t, "put") {
	case "down":
		return ClaimNotWritten{}
	case "lost-before":
		return ClaimResponseLost{}
	case "lost-after":
		s.put(e.Claim, e.Revision)
		return ClaimResponseLost{}
	case "late":
		s.delayed = append(s.delayed, delayedWrite{claim: e.Claim, revision: e.Revision})
		return ClaimResponseLost{}
	}
	if s.put(e.Claim, e.Revision) {
		return ClaimStored{Revision: s.table[e.Claim.TableKey()].revision}
	}
	return s.current(e.Claim.TableKey())
}

func (s *simulation) current(key string) Event {
	r, ok := s.table[key]
	if !ok {
		return ClaimNotFound{}
	}
	return ClaimExists{Claim: r.claim, Revision: r.revision}
}

func (s *simulation) readClaim(t *rapid.T, key string) Event {
	if rapid.SampledFrom([]string{"ok", "ok", "down"}).Draw(t, "read") == "down" {
		return ClaimReadFailed{}
	}
	return s.current(key)
}

// dispatch checks the claim's age again, as the program does right before it
// sends.
func (s *simulation) dispatch(t *rapid.T, a *attempt) Event {
	if !a.call.MayDispatch() {
		return SendFailed{}
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "unsent", "cut-before", "cut-after"}).Draw(t, "send") {
	case "unsent":
		return SendFailed{}
	case "cut-before":
		return ResponseLost{}
	case "cut-after":
		s.run(a)
		return ResponseLost{}
	}
	return ResponseReceived{Outcome: s.run(a)}
}

// run executes the call at the target.
func (s *simulation) run(a *attempt) Outcome {
	a.runs++
	s.effects[a.key]++
	o := NewOutcome(201, nil, []byte(fmt.Sprintf("%s effect %d", a.key, s.effects[a.key])))
	s.recorded[a.key] = o
	return o
}

func (s *simulation) queryOutcome(t *rapid.T, c Claim) Event {
	o, ok := s.recorded[c.Key()]
	if !ok || rapid.Bool().Draw(t, "target-down") {
		return OutcomeUnknown{}
	}
	return OutcomeFound{Outcome: o}
}

// update makes one attempt at a background update of a row.
func (s *simulation) update(t *rapid.T, u *ClaimUpdate) (done bool) {
	effect := u.Handle(UpdateStarted{})
	for {
		fault := rapid.SampledFrom([]string{"ok", "ok", "down", "lost-after"}).Draw(t, "amend")
		switch e := effect.(type) {
		case UpdateDone:
			return true
		case RetryUpdate:
			return false
		case ReadRow:
			effect = u.Handle(s.updateRead(fault, e.Key))
		case WriteRow:
			effect = u.Handle(s.updateWrite(fault, e))
		}
	}
}

func (s *simulation) updateRead(fault, key string) UpdateEvent {
	if fault != "ok" {
		return RowFailed{}
	}
	r, ok := s.table[key]
	if !ok {
		return RowNotFound{}
	}
	return RowFound{Claim: r.claim, Revision: r.revision}
}

func (s *simulation) updateWrite(fault string, e WriteRow) UpdateEvent {
	if fault == "down" {
		return RowFailed{}
	}
	written := s.put(e.Claim, e.Revision)
	switch {
	case fault == "lost-after":
		return RowFailed{}
	case written:
		return RowWritten{}
	}
	return RowConflict{}
}

func (s *simulation) pending() []*attempt {
	var out []*attempt
	for _, a := range s.attempts {
		if a.next != nil && !a.killed {
			out = append(out, a)
		}
	}
	return out
}

// check compares the results with the executions at the target.
func (s *simulation) check(t *rapid.T) {
	for key, n := range s.effects {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
	for _, a := range s.attempts {
		switch v := a.result.(type) {
		case NotRun:
			require.Zero(t, a.runs, "%s returned not-run", a.claim.Attempt())
		case Ran:
			require.Equal(t, 1, s.effects[a.key], "%s returned done", a.claim.Attempt())
			body := string(v.Outcome.Body())
			if first, ok := s.responses[a.key]; ok {
				require.Equal(t, first, body)
			}
			s.responses[a.key] = body
		}
	}
}

// TestCallAtMostOnce runs concurrent attempts with a failing table, a failing
// target, paused and killed routers and delayed writes in random order. No key is
// executed twice, and no attempt that was executed is reported as not run.
func TestCallAtMostOnce(t *testing.T) {
	for name, outcomeQuery := range map[string]bool{"without-outcome-query": false, "with-outcome-query": true} {
		t.Run(name, func(t *testing.T) {
			steps, effects, results := 0, 0, map[string]int{}
			lugtest.Check(t, "300", "60", func(t *rapid.T) {
				s := newSimulation(outcomeQuery)
				t.Repeat(s.actions(&steps))
				effects += len(s.effects)
				for _, a := range s.attempts {
					results[fmt.Sprintf("%T", a.result)]++
				}
			})
			t.Logf("%d steps, %d keys executed, results %v", steps, effects, results)
			require.Greater(t, steps, 5000)
		})
	}
}

func (s *simulation) actions(steps *int) map[string]func(*rapid.T) {
	step := func(t *rapid.T) {
		if p := s.pending(); len(p) > 0 {
			s.step(t, rapid.SampledFrom(p).Draw(t, "attempt"))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			s.submit(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), "body")
		},
		"step":       step,
		"step-again": step,
		"step-once-more": func(t *rapid.T) {
			step(t)
			step(t)
		},
		"late-write-lands": func(t *rapid.T) {
			if len(s.delayed) > 0 {
				i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "late")
				s.put(s.delayed[i].claim, s.delayed[i].revision)
				s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
			}
		},
		"amend": func(t *rapid.T) {
			if len(s.updates) > 0 {
				i := rapid.IntRange(0, len(s.updates)-1).Draw(t, "amendment")
				if s.update(t, s.updates[i]) {
					s.updates = append(s.updates[:i:i], s.updates[i+1:]...)
				}
			}
		},
		"forget": func(t *rapid.T) {
			if len(s.updates) > 0 && rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
				s.updates = s.updates[1:]
			}
		},
		"freeze": func(t *rapid.T) {
			s.clock.Jump(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
		},
		"kill": func(t *rapid.T) {
			if p := s.pending(); len(p) > 0 {
				rapid.SampledFrom(p).Draw(t, "attempt").killed = true
			}
		},
		"": func(t *rapid.T) {
			*steps++
			s.check(t)
		},
	}
}

func TestCallResults(t *testing.T) {
	claim := NewClaim("taller", "bookings", "k", WithAttempt("mine"), WithDigest("body"))
	other := NewClaim("taller", "bookings", "k", WithAttempt("other"), WithDigest("body"))
	done := other.finished(NewOutcome(201, nil, []byte("x")))
	tests := map[string]struct {
		events []Event
		want   Result
	}{
		"response received":           {[]Event{ClaimStored{1}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
		"table down":                  {[]Event{ClaimNotWritten{}}, NotRun{Cause: TableUnavailable, Earlier: true}},
		"response lost, no row":       {[]Event{ClaimResponseLost{}, ClaimNotFound{}}, NotRun{Cause: TableUnavailable}},
		"response lost, read failed":  {[]Event{ClaimResponseLost{}, ClaimReadFailed{}}, NotRun{Cause: TableUnavailable, Earlier: true}},
		"response lost, claim stored": {[]Event{ClaimResponseLost{}, ClaimExists{claim, 1}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
		"target unreachable":          {[]Event{ClaimStored{1}, SendFailed{}}, NotRun{Cause: TargetUnreachable}},
		"target response lost":        {[]Event{ClaimStored{1}, ResponseLost{}}, MayHaveRun{Claim: claim}},
		"retry of a finished call":    {[]Event{ClaimExists{done, 2}}, Ran{Outcome: done.outcome, Replayed: true}},
		"retry of an open claim":      {[]Event{ClaimExists{other, 1}}, MayHaveRun{Claim: other}},
		"key of another request":      {[]Event{ClaimExists{Claim{attempt: "other", digest: "z", state: Claimed}, 1}}, KeyReused{}},
		"claim released before":       {[]Event{ClaimExists{other.released(), 2}, ClaimStored{3}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewCall(schedule.NewFake(start), claim)
			effects := c.Handle(Begin{})
			for _, ev := range tt.events {
				effects = c.Handle(ev)
			}
			require.Equal(t, Reply{Result: tt.want}, effects[0])
		})
	}
}

func TestCallIsNotDispatchedAfterProcessPause(t *testing.T) {
	clock := schedule.NewFake(start)
	c := NewCall(clock, NewClaim("taller", "bookings", "k", WithAttempt("mine")))
	c.Handle(Begin{})
	clock.Jump(MaxClaimAge + time.Millisecond)
	effects := c.Handle(ClaimStored{Revision: 1})
	require.Equal(t, Reply{Result: NotRun{Cause: RouterPaused}}, effects[0])
}

func TestClaimRejectsInvalidRows(t *testing.T) {
	tests := map[string]string{
		"not JSON":      `{`,
		"unknown state": `{"state":"perhaps"}`,
		"bad body":      `{"state":"claimed","body":"%"}`,
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			var c Claim
			require.Error(t, json.Unmarshal([]byte(raw), &c))
		})
	}
}

func FuzzClaim(f *testing.F) {
	raw, _ := json.Marshal(NewClaim("taller", "bookings", "k"))
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var c Claim
		if json.Unmarshal(raw, &c) != nil {
			return
		}
		decoded := roundTrip(c)
		require.Equal(t, c.TableKey(), decoded.TableKey())
		require.Equal(t, c.State(), decoded.State())
	})
}
