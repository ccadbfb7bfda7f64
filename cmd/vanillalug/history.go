package main

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"
)

const usageHistory = `vanillalug history -settings FILE

History lists every published version: its number, the version that it was
based on, its rules level, its digest, its author, the time and the reason.
`

const usageShow = `vanillalug show -settings FILE VERSION

Show prints the document of a published version in its canonical form.
`

func runHistory(c *invocation) int {
	c.addSettingsFlag()
	c.addJSONFlag()
	cfg, ok := c.parseWithSettings(0)
	if !ok {
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	records, err := newVersions(newPlatform(cfg)).history(ctx)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if c.json {
		c.writeJSON(records)
		return 0
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tBASE\tRULES LEVEL\tDIGEST\tAUTHOR\tAT\tREASON")
	for _, r := range records {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.12s\t%s\t%s\t%s\n", r.Head().Version(), r.Base(), r.RulesLevel(),
			r.Head().Digest(), r.Author(), r.At().Format(time.RFC3339), r.Reason())
	}
	_ = w.Flush()
	return 0
}

func runShow(c *invocation) int {
	c.addSettingsFlag()
	if !c.parse(1) {
		return exitUsage
	}
	version, err := strconv.ParseUint(c.flags.Arg(0), 10, 64)
	if err != nil {
		return c.fail(exitUsage, fmt.Errorf("VERSION: %q: want a whole number", c.flags.Arg(0)))
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	v := newVersions(newPlatform(cfg))
	r, err := v.record(ctx, version)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	text, err := v.text(ctx, r.Head())
	if err != nil {
		return c.fail(exitFailure, err)
	}
	_, _ = c.stdout.Write(text)
	return 0
}
