package enginetest

import (
	"math/rand/v2"
	"time"
)

// SpeedPattern says how fast the simulated machines are.
type SpeedPattern struct {
	// Speeds are how many times as long machines take, in turn; none means 1.
	Speeds []float64
	// NoiseShare is the share of machines that take NoiseFactor times as long, drawn anew every
	// NoiseTime; they state it in load headers.
	NoiseShare, NoiseFactor float64
	NoiseTime               time.Duration
	// SilentShare is the share of machines that take SilentFactor times as long for SilentTime
	// from each SilentEvery on, without saying so.
	SilentShare, SilentFactor float64
	SilentEvery, SilentTime   time.Duration
	// LoadFactor multiplies the rates of all classes; 0 means 1.
	LoadFactor float64
	// SlowCallers is the share of callers that take 200 ms to read each event.
	SlowCallers float64
}

// WithLoad returns the pattern with its load multiplied.
func (p SpeedPattern) WithLoad(factor float64) SpeedPattern {
	if p.LoadFactor == 0 {
		p.LoadFactor = 1
	}
	p.LoadFactor *= factor
	return p
}

// machine is how fast one simulated machine is.
type machine struct {
	pattern SpeedPattern
	seed    uint64
	index   int
}

// drawn reports whether the machine is among those that are drawn for a period, a share of all.
func (m machine) drawn(share float64, period int64, salt uint64) bool {
	r := rand.NewPCG(m.seed^salt<<32^uint64(m.index), uint64(period))
	r.Uint64()
	return float64(r.Uint64()>>11)/(1<<53) < share
}

const (
	noiseSalt  = 1
	silentSalt = 2
)

// stated returns the slowness that the machine states at a time.
func (m machine) stated(at time.Duration) float64 {
	p := m.pattern
	if p.NoiseShare > 0 && m.drawn(p.NoiseShare, int64(at/p.NoiseTime), noiseSalt) {
		return p.NoiseFactor
	}
	return 1
}

// slowness returns how many times as long the machine takes at a time.
func (m machine) slowness(at time.Duration) float64 {
	out := m.stated(at)
	p := m.pattern
	if len(p.Speeds) > 0 {
		out *= p.Speeds[m.index%len(p.Speeds)]
	}
	if p.SilentShare > 0 && at%p.SilentEvery < p.SilentTime && at >= p.SilentEvery &&
		m.drawn(p.SilentShare, int64(at/p.SilentEvery), silentSalt) {
		out *= p.SilentFactor
	}
	return out
}
