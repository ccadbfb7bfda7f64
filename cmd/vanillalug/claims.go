package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"vanillalug.example/depot"
	"vanillalug.example/ledger"
)

const usageClaims = `vanillalug claims -settings FILE [-workspace NAME] [-older 1m]

Claims lists the non-idempotent calls whose outcome is not recorded. Their
callers receive the run state "unknown". Find out from the service whether each
call was run, and record it with "vanillalug settle".
`

const usageSettle = `vanillalug settle -settings FILE -claim ROW -ran yes|no

Settle records whether a call was run, as found out by an operator. With
-ran yes, retries of the call receive the answer that it was run and that its
response is not kept. With -ran no, the next retry runs the call. Claims younger
than five minutes are rejected, since their router may still be processing them.
`

// minSettleAge is the minimum age of a claim that may be settled by hand. The
// router of a younger one may still be processing it.
const minSettleAge = 5 * time.Minute

type claimRow struct {
	Row       string    `json:"row"`
	Workspace string    `json:"workspace"`
	Service   string    `json:"service"`
	Key       string    `json:"key"`
	Router    string    `json:"router"`
	Target    string    `json:"target"`
	At        time.Time `json:"at"`
}

func runClaims(c *invocation) int {
	c.addSettingsFlag()
	c.addJSONFlag()
	workspace := c.flags.String("workspace", "", "only claims of this workspace")
	older := c.flags.Duration("older", time.Minute, "only claims older than this")
	cfg, ok := c.parseWithSettings(0)
	if !ok {
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	rows, err := openClaims(ctx, newPlatform(cfg), *workspace, time.Now().Add(-*older))
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if c.json {
		c.writeJSON(rows)
		return 0
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROW\tSERVICE\tKEY\tROUTER\tTARGET\tAT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Row, r.Service, r.Key, r.Router, r.Target, r.At.Format(time.RFC3339))
	}
	_ = w.Flush()
	return 0
}

func openClaims(ctx context.Context, t depot.Table, workspace string, before time.Time) ([]claimRow, error) {
	out := []claimRow{}
	after := ""
	for {
		rows, err := t.List(ctx, ledger.ClaimPrefix(workspace), after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key()
			var claim ledger.Claim
			if err := json.Unmarshal(row.Value(), &claim); err != nil {
				return nil, fmt.Errorf("%s: %w", row.Key(), err)
			}
			if claim.State() == ledger.Claimed && claim.At().Before(before) {
				out = append(out, claimRow{
					Row: row.Key(), Workspace: claim.Workspace(), Service: claim.Service(), Key: claim.Key(),
					Router: claim.Router(), Target: claim.Target(), At: claim.At(),
				})
			}
		}
		if len(rows) < listPageSize {
			return out, nil
		}
	}
}

func runSettle(c *invocation) int {
	c.addSettingsFlag()
	claim := c.flags.String("claim", "", "row of the claim, as listed by \"vanillalug claims\"")
	ran := c.flags.String("ran", "", "yes or no")
	force := c.flags.Bool("force", false, "settle a claim younger than five minutes, when its router is known to have stopped")
	if !c.parse(0) {
		return exitUsage
	}
	if *claim == "" || *ran != "yes" && *ran != "no" {
		fmt.Fprintln(c.stderr, "-claim and -ran yes|no are required")
		return exitUsage
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return c.settle(ctx, newPlatform(cfg), *claim, *ran == "yes", *force, cfg.operator)
}

func (c *invocation) settle(ctx context.Context, t depot.Table, key string, ran, force bool, operator string) int {
	row, err := t.Get(ctx, key)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	var claim ledger.Claim
	if err := json.Unmarshal(row.Value(), &claim); err != nil {
		return c.fail(exitFailure, err)
	}
	if claim.State() != ledger.Claimed {
		return c.fail(exitConflict, fmt.Errorf("%s: is already %s", key, claim.State()))
	}
	if time.Since(claim.At()) < minSettleAge && !force {
		return c.fail(exitConflict, fmt.Errorf("%s: is younger than %s; its router may still be processing it", key, minSettleAge))
	}
	raw, err := json.Marshal(claim.Settle(ran, operator))
	if err != nil {
		return c.fail(exitFailure, err)
	}
	results, err := t.Write(ctx, []depot.Write{
		depot.NewWrite(key, raw, depot.AtRevision{Revision: row.Revision()}),
	})
	switch {
	case err != nil:
		return c.fail(exitUnknown, err)
	case !results[0].Written():
		return c.fail(exitConflict, fmt.Errorf("%s: was changed concurrently", key))
	}
	fmt.Fprintf(c.stdout, "%s: settled\n", key)
	return 0
}
