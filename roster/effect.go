package roster

import "time"

// Effect is something that the program carries out for a Roster.
type Effect interface{ rosterEffect() }

// Probe asks to probe the member directly.
type Probe struct{ Member Member }

// ProbeThrough asks to probe the member through each of the others.
type ProbeThrough struct {
	Member Member
	Others []Member
}

// Changed reports a new state of a member.
type Changed struct {
	Member Member
	From   State
}

// Paused reports that this process did not run for the time of the gap.
type Paused struct{ Gap time.Duration }

func (Probe) rosterEffect()        {}
func (ProbeThrough) rosterEffect() {}
func (Changed) rosterEffect()      {}
func (Paused) rosterEffect()       {}
