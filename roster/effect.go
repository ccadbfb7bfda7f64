package roster

import "time"

// Effect is something that the program carries out for a Roster.
type Effect interface{ rosterEffect() }

// Probe asks to probe the member directly.
type Probe struct{ Member Member }

// IndirectProbe asks to probe the member through each of the others.
type IndirectProbe struct {
	Member Member
	Via    []Member
}

// StateChanged reports a new state of a member.
type StateChanged struct {
	Member Member
	From   State
}

// Paused reports that this process did not run for the time of the gap.
type Paused struct{ Gap time.Duration }

func (Probe) rosterEffect()         {}
func (IndirectProbe) rosterEffect() {}
func (StateChanged) rosterEffect()  {}
func (Paused) rosterEffect()        {}
