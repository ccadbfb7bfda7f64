// Package cron schedules the periodic jobs of a router.
package cron

import (
	"time"

	"vanillalug.example/cmd/router/office"
	"vanillalug.example/cmd/router/settings"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

const (
	cacheEventsInterval  = 2 * time.Second
	handOverInterval     = 10 * time.Second
	flushJournalInterval = 250 * time.Millisecond
)

// Start schedules all jobs and returns a function that stops them.
func Start(clock schedule.Clock, router *office.Router, cfg *settings.Settings) (stop func()) {
	jobs := []struct {
		interval time.Duration
		run      func(time.Time)
	}{
		{roster.ProbeInterval, router.MembershipTick},
		{cfg.HeadInterval(), router.ReadHead},
		{cfg.VMsInterval(), router.ReadVMs},
		{cfg.ReportInterval(), router.PollTargets},
		{cacheEventsInterval, router.ReadCacheEvents},
		{handOverInterval, router.HandOverEngines},
		{flushJournalInterval, router.FlushJournal},
	}
	var cancels []func()
	for _, j := range jobs {
		cancels = append(cancels, clock.Every(j.interval, j.run))
	}
	return func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}
