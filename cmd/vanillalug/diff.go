package main

import (
	"context"
	"fmt"

	"vanillalug.example/register"
)

const usageDiff = `vanillalug diff -settings FILE DOCUMENT

Diff compares the document with the newest published version, section by
section and key by key, and shows what publishing it would change.

Exit codes: 0 whether or not there is a difference, 2 when the document is
invalid.
`

func runDiff(c *invocation) int {
	c.addSettingsFlag()
	c.addJSONFlag()
	if !c.parse(1) {
		return exitUsage
	}
	f, err := readDocument(c.flags.Arg(0))
	if err != nil {
		return c.fail(exitUsage, err)
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	v := newVersions(newPlatform(cfg))
	head, err := v.head(ctx)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	old, err := v.text(ctx, head.record.Head())
	if err != nil {
		return c.fail(exitFailure, err)
	}
	changes := register.Diff(old, f.Canonical())
	if c.json {
		c.writeJSON(changeBodies(changes))
		return 0
	}
	fmt.Fprintf(c.stdout, "against version %d:\n", head.record.Head().Version())
	printChanges(c, changes)
	return 0
}

type changeBody struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old"`
	New     string `json:"new"`
}

func changeBodies(changes []register.Change) []changeBody {
	out := []changeBody{}
	for _, x := range changes {
		out = append(out, changeBody{Section: x.Section(), Key: x.Key(), Old: x.Old(), New: x.New()})
	}
	return out
}

func printChanges(c *invocation, changes []register.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(c.stdout, "  no difference")
	}
	for _, x := range changes {
		fmt.Fprintln(c.stdout, "  "+x.String())
	}
}
