package roster

import "time"

// Effect is an action that the program performs for a Roster.
type Effect interface{ rosterEffect() }

// Probe requests a direct probe of the member.
type Probe struct{ Member Member }

// IndirectProbe requests a probe of the member through each member in Via.
type IndirectProbe struct {
	Member Member
	Via    []Member
}

// StateChanged reports the new state of a member.
type StateChanged struct {
	Member Member
	From   State
}

// Paused reports that this process was paused: Gap is the time between two ticks.
type Paused struct{ Gap time.Duration }

func (Probe) rosterEffect()         {}
func (IndirectProbe) rosterEffect() {}
func (StateChanged) rosterEffect()  {}
func (Paused) rosterEffect()        {}
