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

// row is a row of the table that the oracle keeps.
type row struct {
	claim    Claim
	revision uint64
}

// lateWrite is a write whose answer was lost and which may still take effect.
type lateWrite struct {
	claim    Claim
	revision uint64
}

// attempt is one call with what the world still owes it.
type attempt struct {
	call    *Call
	claim   Claim
	key     string
	body    string
	next    Effect
	effects int
	verdict Result
	dead    bool
}

// world is the table, the target and the attempts. It counts the effects of
// each key and attempt: that is the oracle.
type world struct {
	clock      *schedule.Fake
	table      map[string]row
	late       []lateWrite
	amendments []*ClaimUpdate
	attempts   []*attempt
	effects    map[string]int
	answers    map[string]string
	remembered map[string]Outcome
	askable    bool
}

func newWorld(askable bool) *world {
	return &world{
		clock: schedule.NewFake(start), table: map[string]row{}, effects: map[string]int{},
		answers: map[string]string{}, remembered: map[string]Outcome{}, askable: askable,
	}
}

// put carries out a conditional write and reports whether it took effect.
func (w *world) put(c Claim, revision uint64) bool {
	old := w.table[c.TableKey()]
	if old.revision != revision {
		return false
	}
	w.table[c.TableKey()] = row{claim: roundTrip(c), revision: old.revision + 1}
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

func (w *world) submit(key, body string) {
	c := NewClaim("taller", "bookings", key,
		WithAttempt(fmt.Sprintf("attempt-%d", len(w.attempts))), WithDigest(body), WithTime(start))
	var opts []CallOption
	if w.askable {
		opts = append(opts, WithOutcomeQuery())
	}
	a := &attempt{call: NewCall(w.clock, c, opts...), claim: c, key: key, body: body}
	w.attempts = append(w.attempts, a)
	w.carry(a, a.call.Handle(Begin{}))
}

// carry sorts the effects into those for the background and the next step.
func (w *world) carry(a *attempt, effects []Effect) {
	a.next = nil
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			a.verdict = e.Result
		case ReleaseClaim:
			w.amendments = append(w.amendments, NewClaimUpdate(e.Claim, 0))
		case StoreOutcome:
			w.amendments = append(w.amendments, NewClaimUpdate(e.Claim, e.Revision))
		default:
			a.next = e
		}
	}
}

// step carries out the next effect of an attempt, with a fault that rapid
// picks.
func (w *world) step(t *rapid.T, a *attempt) {
	var ev Event
	switch e := a.next.(type) {
	case StoreClaim:
		ev = w.storeClaim(t, e)
	case ReadClaim:
		ev = w.readClaim(t, e.Key)
	case Dispatch:
		ev = w.dispatch(t, a)
	case QueryOutcome:
		ev = w.ask(t, e.Claim)
	}
	w.carry(a, a.call.Handle(ev))
}

func (w *world) storeClaim(t *rapid.T, e StoreClaim) Event {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "down", "lost-before", "lost-after", "late"}).Draw(t, "put") {
	case "down":
		return ClaimNotWritten{}
	case "lost-before":
		return ClaimResponseLost{}
	case "lost-after":
		w.put(e.Claim, e.Revision)
		return ClaimResponseLost{}
	case "late":
		w.late = append(w.late, lateWrite{claim: e.Claim, revision: e.Revision})
		return ClaimResponseLost{}
	}
	if w.put(e.Claim, e.Revision) {
		return ClaimStored{Revision: w.table[e.Claim.TableKey()].revision}
	}
	return w.current(e.Claim.TableKey())
}

func (w *world) current(key string) Event {
	r, ok := w.table[key]
	if !ok {
		return ClaimNotFound{}
	}
	return ClaimExists{Claim: r.claim, Revision: r.revision}
}

func (w *world) readClaim(t *rapid.T, key string) Event {
	if rapid.SampledFrom([]string{"ok", "ok", "down"}).Draw(t, "read") == "down" {
		return ClaimReadFailed{}
	}
	return w.current(key)
}

// dispatch asks the clock again, as the program does right before it sends.
func (w *world) dispatch(t *rapid.T, a *attempt) Event {
	if !a.call.MayDispatch() {
		return SendFailed{}
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "unsent", "cut-before", "cut-after"}).Draw(t, "send") {
	case "unsent":
		return SendFailed{}
	case "cut-before":
		return ResponseLost{}
	case "cut-after":
		w.run(a)
		return ResponseLost{}
	}
	return ResponseReceived{Outcome: w.run(a)}
}

// run is the effect at the target.
func (w *world) run(a *attempt) Outcome {
	a.effects++
	w.effects[a.key]++
	o := NewOutcome(201, nil, []byte(fmt.Sprintf("%s effect %d", a.key, w.effects[a.key])))
	w.remembered[a.key] = o
	return o
}

func (w *world) ask(t *rapid.T, c Claim) Event {
	o, ok := w.remembered[c.Key()]
	if !ok || rapid.Bool().Draw(t, "target-down") {
		return OutcomeUnknown{}
	}
	return OutcomeFound{Outcome: o}
}

// amend makes one attempt to write a row in the background.
func (w *world) amend(t *rapid.T, a *ClaimUpdate) (done bool) {
	effect := a.Handle(UpdateStarted{})
	for {
		fault := rapid.SampledFrom([]string{"ok", "ok", "down", "lost-after"}).Draw(t, "amend")
		switch e := effect.(type) {
		case UpdateDone:
			return true
		case RetryUpdate:
			return false
		case ReadRow:
			effect = a.Handle(w.amendRead(fault, e.Key))
		case WriteRow:
			effect = a.Handle(w.amendWrite(fault, e))
		}
	}
}

func (w *world) amendRead(fault, key string) UpdateEvent {
	if fault != "ok" {
		return RowFailed{}
	}
	r, ok := w.table[key]
	if !ok {
		return RowNotFound{}
	}
	return RowFound{Claim: r.claim, Revision: r.revision}
}

func (w *world) amendWrite(fault string, e WriteRow) UpdateEvent {
	if fault == "down" {
		return RowFailed{}
	}
	written := w.put(e.Claim, e.Revision)
	switch {
	case fault == "lost-after":
		return RowFailed{}
	case written:
		return RowWritten{}
	}
	return RowConflict{}
}

func (w *world) pending() []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if a.next != nil && !a.dead {
			out = append(out, a)
		}
	}
	return out
}

// check holds the verdicts against the oracle.
func (w *world) check(t *rapid.T) {
	for key, n := range w.effects {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
	for _, a := range w.attempts {
		switch v := a.verdict.(type) {
		case NotRun:
			require.Zero(t, a.effects, "%s was told not-run", a.claim.Attempt())
		case Ran:
			require.Equal(t, 1, w.effects[a.key], "%s was told done", a.claim.Attempt())
			body := string(v.Outcome.Body())
			if first, ok := w.answers[a.key]; ok {
				require.Equal(t, first, body)
			}
			w.answers[a.key] = body
		}
	}
}

// TestCallAtMostOnce lets attempts, a failing table, a failing target, frozen
// and killed routers and late writes meet in any order.
func TestCallAtMostOnce(t *testing.T) {
	for name, askable := range map[string]bool{"target-cannot-tell": false, "target-can-tell": true} {
		t.Run(name, func(t *testing.T) {
			steps, effects, verdicts := 0, 0, map[string]int{}
			lugtest.Check(t, "300", "60", func(t *rapid.T) {
				w := newWorld(askable)
				t.Repeat(w.actions(&steps))
				effects += len(w.effects)
				for _, a := range w.attempts {
					verdicts[fmt.Sprintf("%T", a.verdict)]++
				}
			})
			t.Logf("%d steps, %d keys with an effect, verdicts %v", steps, effects, verdicts)
			require.Greater(t, steps, 5000)
		})
	}
}

func (w *world) actions(steps *int) map[string]func(*rapid.T) {
	step := func(t *rapid.T) {
		if p := w.pending(); len(p) > 0 {
			w.step(t, rapid.SampledFrom(p).Draw(t, "attempt"))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			w.submit(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), "body")
		},
		"step":       step,
		"step-again": step,
		"step-once-more": func(t *rapid.T) {
			step(t)
			step(t)
		},
		"late-write-lands": func(t *rapid.T) {
			if len(w.late) > 0 {
				i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
				w.put(w.late[i].claim, w.late[i].revision)
				w.late = append(w.late[:i:i], w.late[i+1:]...)
			}
		},
		"amend": func(t *rapid.T) {
			if len(w.amendments) > 0 {
				i := rapid.IntRange(0, len(w.amendments)-1).Draw(t, "amendment")
				if w.amend(t, w.amendments[i]) {
					w.amendments = append(w.amendments[:i:i], w.amendments[i+1:]...)
				}
			}
		},
		"forget": func(t *rapid.T) {
			if len(w.amendments) > 0 && rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
				w.amendments = w.amendments[1:]
			}
		},
		"freeze": func(t *rapid.T) {
			w.clock.Jump(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
		},
		"kill": func(t *rapid.T) {
			if p := w.pending(); len(p) > 0 {
				rapid.SampledFrom(p).Draw(t, "attempt").dead = true
			}
		},
		"": func(t *rapid.T) {
			*steps++
			w.check(t)
		},
	}
}

func TestCallVerdicts(t *testing.T) {
	claim := NewClaim("taller", "bookings", "k", WithAttempt("mine"), WithDigest("body"))
	other := NewClaim("taller", "bookings", "k", WithAttempt("other"), WithDigest("body"))
	done := other.finished(NewOutcome(201, nil, []byte("x")))
	tests := map[string]struct {
		events []Event
		want   Result
	}{
		"answered":             {[]Event{ClaimStored{1}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
		"table down":           {[]Event{ClaimNotWritten{}}, NotRun{Cause: TableUnavailable, Earlier: true}},
		"lost and absent":      {[]Event{ClaimResponseLost{}, ClaimNotFound{}}, NotRun{Cause: TableUnavailable}},
		"lost and unreadable":  {[]Event{ClaimResponseLost{}, ClaimReadFailed{}}, NotRun{Cause: TableUnavailable, Earlier: true}},
		"lost but stored":      {[]Event{ClaimResponseLost{}, ClaimExists{claim, 1}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
		"target unreachable":   {[]Event{ClaimStored{1}, SendFailed{}}, NotRun{Cause: TargetUnreachable}},
		"cut":                  {[]Event{ClaimStored{1}, ResponseLost{}}, MayHaveRun{Claim: claim}},
		"repeat of a finished": {[]Event{ClaimExists{done, 2}}, Ran{Outcome: done.outcome, Replayed: true}},
		"repeat of an open":    {[]Event{ClaimExists{other, 1}}, MayHaveRun{Claim: other}},
		"another body":         {[]Event{ClaimExists{Claim{attempt: "other", digest: "z", state: Claimed}, 1}}, KeyReused{}},
		"released before":      {[]Event{ClaimExists{other.released(), 2}, ClaimStored{3}, ResponseReceived{done.outcome}}, Ran{Outcome: done.outcome}},
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

func TestCallDoesNotDispatchAfterAPause(t *testing.T) {
	clock := schedule.NewFake(start)
	c := NewCall(clock, NewClaim("taller", "bookings", "k", WithAttempt("mine")))
	c.Handle(Begin{})
	clock.Jump(MaxClaimAge + time.Millisecond)
	effects := c.Handle(ClaimStored{Revision: 1})
	require.Equal(t, Reply{Result: NotRun{Cause: RouterPaused}}, effects[0])
}

func TestClaimRejectsBadRows(t *testing.T) {
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
		again := roundTrip(c)
		require.Equal(t, c.TableKey(), again.TableKey())
		require.Equal(t, c.State(), again.State())
	})
}
