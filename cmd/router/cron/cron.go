// Package cron subscribes the periodic jobs of a router to the timer service.
package cron

import (
	"time"

	"vanillalug.example/cmd/router/office"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

const (
	cacheInterval   = 2 * time.Second
	handInterval    = 10 * time.Second
	journalInterval = 250 * time.Millisecond
)

// Start subscribes every job and returns a function that ends them all.
func Start(clock schedule.Clock, o *office.Router, cfg *settings.Settings) (stop func()) {
	jobs := []struct {
		every time.Duration
		run   func(time.Time)
	}{
		{roster.ProbeInterval, o.MembershipTick},
		{cfg.HeadInterval(), o.ReadHead},
		{cfg.VMsInterval(), o.ReadVMs},
		{cfg.ReportInterval(), o.PollTargets},
		{cacheInterval, o.ReadCacheEvents},
		{handInterval, o.HandOverEngines},
		{journalInterval, o.FlushJournal},
	}
	var cancels []func()
	for _, j := range jobs {
		cancels = append(cancels, clock.Every(j.every, j.run))
	}
	return func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}
