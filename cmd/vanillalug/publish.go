package main

import (
	"context"
	"errors"
	"fmt"

	"vanillalug.example"
	"vanillalug.example/reception"
	"vanillalug.example/register"
)

const usagePublish = `vanillalug publish -settings FILE -base N -reason TEXT DOCUMENT

Publish checks the document and publishes it as the next version. The base is
the version that the document was edited from, as "history" and "status" show
it; 0 publishes the first version. When another operator has published since,
nothing is changed and both changes are shown.

A document that raises the rules level is refused, with the routers named,
until every router of the fleet can follow the new level. With -wait the
command ends when every router has the version in force.

Exit codes: 2 for a document with faults, 3 for a conflict, 4 when routers
cannot follow or do not have the version in force in time, 5 when it is not
known whether the version was accepted.
`

func runPublish(c *call) int {
	c.withSettings()
	base := c.flags.Int64("base", -1, "version that the document was edited from")
	reason := c.flags.String("reason", "", "why the document is published")
	wait := c.flags.Duration("wait", 0, "how long to wait until every router has it in force")
	if !c.parse(1) {
		return exitUsage
	}
	if *base < 0 || *reason == "" {
		fmt.Fprintln(c.errs, "-base and -reason are required")
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
	return c.publish(cfg, f, uint64(*base), *reason, *wait)
}

// publisher carries a publication of this run.
type publisher struct {
	cfg      *operatorSettings
	versions *versions
	status   reception.FleetStatusBody
	base     headRow
}

// newPublisher reads the head and asks the fleet.
func (c *call) newPublisher(ctx context.Context, cfg *operatorSettings) (*publisher, error) {
	p := &publisher{cfg: cfg, versions: newVersions(newPlatform(cfg))}
	head, err := p.versions.head(ctx)
	if err != nil {
		return nil, err
	}
	p.base = head
	p.status, err = askStatus(ctx, cfg)
	if err != nil && head.record.Head().Version() > 0 {
		return nil, err
	}
	return p, nil
}

// next returns the number of the next version: one more than the newest that
// the store or any router knows. A store that was restored from a copy may be
// behind the routers, which never go back.
func (p *publisher) next() uint64 {
	newest := p.base.record.Head().Version()
	for _, r := range p.status.Routers {
		newest = max(newest, r.Version, r.LatestKnown)
	}
	return newest + 1
}

func (c *call) publish(cfg *operatorSettings, f *vanillalug.Fleet, base uint64, reason string, wait duration) int {
	ctx, done := context.WithTimeout(context.Background(), commandTimeout)
	defer done()
	p, err := c.newPublisher(ctx, cfg)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if at := p.base.record.Head().Version(); base != at {
		return c.conflict(ctx, p.versions, f, &ConflictError{base: base, other: p.base.record})
	}
	if behind := cannotFollow(p.status, f.RulesLevel()); len(behind) > 0 && p.base.record.Head().Version() > 0 {
		fmt.Fprintf(c.errs, "refused: rules level %d cannot be followed by every router:\n", f.RulesLevel())
		for _, line := range behind {
			fmt.Fprintln(c.errs, "  "+line)
		}
		return exitDisagree
	}
	head, err := p.versions.publish(ctx, publication{
		fleet: f, base: p.base, next: p.next(), author: cfg.operator, reason: reason,
	})
	if err != nil {
		return c.publishFailed(ctx, p.versions, f, err)
	}
	fmt.Fprintf(c.out, "published version %d, digest %s\n", head.Version(), head.Digest())
	if wait == 0 {
		return 0
	}
	return c.awaitInForce(cfg, head, wait)
}

func (c *call) publishFailed(ctx context.Context, v *versions, f *vanillalug.Fleet, err error) int {
	var conflict *ConflictError
	var undecided *UndecidedError
	switch {
	case errors.As(err, &conflict):
		return c.conflict(ctx, v, f, conflict)
	case errors.As(err, &undecided):
		return c.fail(exitUnknown, err)
	}
	return c.fail(exitFailure, err)
}

// conflict shows both changes since the common base.
func (c *call) conflict(ctx context.Context, v *versions, f *vanillalug.Fleet, e *ConflictError) int {
	fmt.Fprintln(c.errs, e)
	base, err := v.record(ctx, e.base)
	if err != nil {
		return exitConflict
	}
	old, err := v.text(ctx, base.Head())
	if err != nil {
		return exitConflict
	}
	theirs, err := v.text(ctx, e.other.Head())
	if err != nil {
		return exitConflict
	}
	fmt.Fprintf(c.out, "changes of version %d since version %d:\n", e.other.Head().Version(), e.base)
	printChanges(c, register.Diff(old, theirs))
	fmt.Fprintf(c.out, "changes of your document since version %d:\n", e.base)
	printChanges(c, register.Diff(old, f.Canonical()))
	return exitConflict
}
