package settings

import (
	"time"

	"vanillalug.example/form"
	"vanillalug.example/intake"
)

const (
	// minHeldMB is the smallest account: the router needs it for connections and short requests.
	minHeldMB = 1
	// fullShare is the share of the account that one address may hold by default, in percent.
	fullShare    = 100
	maxBodyRate  = 1 << 20
	minBodyGrace = time.Second
	mib          = 1 << 20
)

// The parts of the process's descriptors that the listeners may have open. The rest is for targets,
// peers and the store.
const (
	callerDescriptors   = 0.5
	peerDescriptors     = 0.2
	operatorDescriptors = 0.05
	metricsDescriptors  = 0.025
)

// Intake are the settings on what is held for clients.
type Intake struct {
	memoryMB int
	limits   intake.Limits
}

// readIntake reads the keys of the section "limits". Keys that are left out are derived from the
// process's memory.
func readIntake(in *form.Section, memoryMB int) Intake {
	limits := intake.DefaultLimits(int64(memoryMB) * mib)
	held := in.Int("held-mb", max(int(limits.Size/mib), minHeldMB), minHeldMB, maxMemoryMB)
	if in.Has("held-mb") {
		limits.Size = int64(held) * mib
	}
	limits.AddressShare = float64(in.Int("address-share", fullShare, 1, fullShare)) / fullShare
	limits.BodyRate = in.Int("body-rate", limits.BodyRate, 0, maxBodyRate)
	limits.BodyGrace = in.Duration("body-grace", limits.BodyGrace, minBodyGrace, time.Hour)
	return Intake{memoryMB: memoryMB, limits: limits}
}

// Limits returns the limits of what the process holds for its clients.
func (i Intake) Limits() intake.Limits { return i.limits }

// maxConns returns the set number of connections of a listener, or the derived one if it is 0.
func (i Intake) maxConns(set, descriptors int, part float64) int {
	if set > 0 {
		return set
	}
	return intake.MaxConns(int64(i.memoryMB)*mib, descriptors, part)
}
