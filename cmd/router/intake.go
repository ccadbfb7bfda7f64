package main

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/intake"
	"vanillalug.example/reception"
)

const (
	// memoryLimitRatio is the fraction of the memory at which the garbage collector
	// runs more often.
	memoryLimitRatio = 0.7
	gcPercent        = 60
	// evictionLogInterval and evictionLogBurst bound the log lines on evictions.
	evictionLogInterval = time.Second
	evictionLogBurst    = 10
)

// limitMemory makes the garbage collector keep the process within its memory.
func limitMemory(memoryMB int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryLimitRatio))
}

// newIntake returns what bounds the memory that all listeners hold for clients, with its metrics and
// log lines.
func newIntake(cfg settings.Intake, log hclog.Logger) *reception.Intake {
	lines := rate.NewLimiter(rate.Every(evictionLogInterval), evictionLogBurst)
	i := reception.NewIntake(intake.NewAccount(cfg.Limits()), func(e reception.Eviction) {
		meter.Count("held_evictions", "kind", e.Kind.String())
		if lines.Allow() {
			log.Warn("connection given up", "listener", e.Server, "client", e.Client, "reason", string(e.Reason),
				"kind", e.Kind.String(), "held-bytes", e.Held, "without-progress", e.Stalled.Round(time.Millisecond).String())
		}
	})
	for _, k := range intake.Kinds() {
		meter.Gauge(`held_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(i.Held(k)) })
	}
	return i
}

// maxDescriptors returns how many descriptors the process may have open.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// fallbackDescriptors is the number of descriptors where the limit can't be read.
const fallbackDescriptors = 1024
