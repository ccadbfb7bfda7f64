package main

import (
	"context"
	"fmt"

	"vanillalug.example"
)

const usageRollback = `vanillalug rollback -settings FILE -to N -base N -reason TEXT

Rollback publishes the document of an older version again, as the next version.
Version numbers never decrease: a rollback is a new version like any other, and
is rejected for the same reasons.
`

func runRollback(c *invocation) int {
	c.addSettingsFlag()
	to := c.flags.Uint64("to", 0, "version whose document is published again")
	base := c.flags.Uint64("base", 0, "newest published version that you have seen")
	reason := c.flags.String("reason", "", "why the document is published again")
	wait := c.flags.Duration("wait", 0, "how long to wait until the version is active on every router")
	if !c.parse(0) {
		return exitUsage
	}
	if *to == 0 || *base == 0 || *reason == "" {
		fmt.Fprintln(c.stderr, "-to, -base and -reason are required")
		return exitUsage
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	v := newVersions(newPlatform(cfg))
	f, err := v.fleet(ctx, *to)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	return c.publish(cfg, f, *base, fmt.Sprintf("rollback to version %d: %s", *to, *reason), *wait)
}

// fleet returns the document of a version.
func (v *versions) fleet(ctx context.Context, version uint64) (*vanillalug.Fleet, error) {
	r, err := v.record(ctx, version)
	if err != nil {
		return nil, err
	}
	text, err := v.text(ctx, r.Head())
	if err != nil {
		return nil, err
	}
	return vanillalug.ReadFleet(fmt.Sprintf("version-%d", version), text)
}
