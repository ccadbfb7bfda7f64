package ledger

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/schedule"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

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
