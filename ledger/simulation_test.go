package ledger

import (
	"fmt"

	"pgregory.net/rapid"

	"vanillalug.example/schedule"
)

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
