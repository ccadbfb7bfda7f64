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
callers are told that the outcome is unknown. Ask the service what became of
each and settle it with "vanillalug settle".
`

const usageSettle = `vanillalug settle -settings FILE -claim ROW -ran yes|no

Settle records what an operator found out about a call. With -ran yes, repeats
are told that the call was run and that its answer is not kept. With -ran no,
the next repeat runs it. Claims younger than five minutes are refused, since
their router may still be at work on them.
`

// settleAge is the youngest claim that may be settled by hand.
const settleAge = 5 * time.Minute

type claimRow struct {
	Row       string    `json:"row"`
	Workspace string    `json:"workspace"`
	Service   string    `json:"service"`
	Key       string    `json:"key"`
	Router    string    `json:"router"`
	Target    string    `json:"target"`
	At        time.Time `json:"at"`
}

func runClaims(c *call) int {
	c.withSettings()
	c.withJSON()
	workspace := c.flags.String("workspace", "", "only claims of this workspace")
	older := c.flags.Duration("older", time.Minute, "only claims older than this")
	cfg, ok := c.begin(0)
	if !ok {
		return exitUsage
	}
	ctx, done := context.WithTimeout(context.Background(), commandTimeout)
	defer done()
	rows, err := openClaims(ctx, newPlatform(cfg), *workspace, time.Now().Add(-*older))
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if c.json {
		c.writeJSON(rows)
		return 0
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
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
		rows, err := t.List(ctx, ledger.ClaimPrefix(workspace), after, historyPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			after = row.Key()
			var x ledger.Claim
			if err := json.Unmarshal(row.Value(), &x); err != nil {
				return nil, fmt.Errorf("%s: %w", row.Key(), err)
			}
			if x.State() == ledger.Claimed && x.At().Before(before) {
				out = append(out, claimRow{
					Row: row.Key(), Workspace: x.Workspace(), Service: x.Service(), Key: x.Key(),
					Router: x.Router(), Target: x.Target(), At: x.At(),
				})
			}
		}
		if len(rows) < historyPage {
			return out, nil
		}
	}
}

func runSettle(c *call) int {
	c.withSettings()
	claim := c.flags.String("claim", "", "row of the claim, as the list of claims shows it")
	ran := c.flags.String("ran", "", "yes or no")
	force := c.flags.Bool("force", false, "settle a young claim whose router is known to be gone")
	if !c.parse(0) {
		return exitUsage
	}
	if *claim == "" || *ran != "yes" && *ran != "no" {
		fmt.Fprintln(c.errs, "-claim and -ran yes|no are required")
		return exitUsage
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	ctx, done := context.WithTimeout(context.Background(), commandTimeout)
	defer done()
	return c.settle(ctx, newPlatform(cfg), *claim, *ran == "yes", *force, cfg.operator)
}

func (c *call) settle(ctx context.Context, t depot.Table, key string, ran, force bool, operator string) int {
	row, err := t.Get(ctx, key)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	var x ledger.Claim
	if err := json.Unmarshal(row.Value(), &x); err != nil {
		return c.fail(exitFailure, err)
	}
	if x.State() != ledger.Claimed {
		return c.fail(exitConflict, fmt.Errorf("%s: is %s already", key, x.State()))
	}
	if time.Since(x.At()) < settleAge && !force {
		return c.fail(exitConflict, fmt.Errorf("%s: is younger than %s; its router may still be at work on it", key, settleAge))
	}
	raw, err := json.Marshal(x.Settle(ran, operator))
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
		return c.fail(exitConflict, fmt.Errorf("%s: was changed meanwhile", key))
	}
	fmt.Fprintf(c.out, "%s: settled\n", key)
	return 0
}
