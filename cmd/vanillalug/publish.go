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

Publish validates the document and publishes it as the next version. The base
is the version that the document was edited from, as "history" and "status" show
it; 0 publishes the first version. If another operator has published since then,
nothing is changed, and the changes of both documents are shown.

A document that raises the rules level is rejected until every router of the
fleet supports the new level; the routers that do not are listed. With -wait the
command returns when the version is active on every router.

Exit codes: 2 for an invalid document, 3 for a conflict, 4 when routers do not
support the rules level or the version is not active on all of them in time, 5
when it is not known whether the version was accepted.
`

func runPublish(c *invocation) int {
	c.addSettingsFlag()
	base := c.flags.Int64("base", -1, "version that the document was edited from")
	reason := c.flags.String("reason", "", "why the document is published")
	wait := c.flags.Duration("wait", 0, "how long to wait until the version is active on every router")
	if !c.parse(1) {
		return exitUsage
	}
	if *base < 0 || *reason == "" {
		fmt.Fprintln(c.stderr, "-base and -reason are required")
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

// publishState is the state of the store and the fleet before a publication.
type publishState struct {
	cfg      *operatorSettings
	versions *versions
	status   reception.FleetStatusBody
	base     headRow
}

// loadPublishState reads the head and the status of the fleet. The first version
// can be published without a running router.
func (c *invocation) loadPublishState(ctx context.Context, cfg *operatorSettings) (*publishState, error) {
	p := &publishState{cfg: cfg, versions: newVersions(newPlatform(cfg))}
	head, err := p.versions.head(ctx)
	if err != nil {
		return nil, err
	}
	p.base = head
	p.status, err = fetchStatus(ctx, cfg)
	if err != nil && head.record.Head().Version() > 0 {
		return nil, err
	}
	return p, nil
}

// nextVersion returns the number of the next version: one more than the newest
// that the store or any router has. A store that was restored from a backup may
// be behind the routers, which never activate an older version.
func (p *publishState) nextVersion() uint64 {
	newest := p.base.record.Head().Version()
	for _, r := range p.status.Routers {
		newest = max(newest, r.Version, r.LatestKnown)
	}
	return newest + 1
}

func (c *invocation) publish(cfg *operatorSettings, f *vanillalug.Fleet, base uint64, reason string, wait duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	p, err := c.loadPublishState(ctx, cfg)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if current := p.base.record.Head().Version(); base != current {
		return c.conflict(ctx, p.versions, f, &ConflictError{base: base, other: p.base.record})
	}
	if lacking := routersLackingLevel(p.status, f.RulesLevel()); len(lacking) > 0 && p.base.record.Head().Version() > 0 {
		fmt.Fprintf(c.stderr, "refused: rules level %d cannot be followed by every router:\n", f.RulesLevel())
		for _, line := range lacking {
			fmt.Fprintln(c.stderr, "  "+line)
		}
		return exitInconsistent
	}
	head, err := p.versions.publish(ctx, publishRequest{
		fleet: f, base: p.base, version: p.nextVersion(), author: cfg.operator, reason: reason,
	})
	if err != nil {
		return c.publishFailed(ctx, p.versions, f, err)
	}
	fmt.Fprintf(c.stdout, "published version %d, digest %s\n", head.Version(), head.Digest())
	if wait == 0 {
		return 0
	}
	return c.awaitActive(cfg, head, wait)
}

func (c *invocation) publishFailed(ctx context.Context, v *versions, f *vanillalug.Fleet, err error) int {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &conflict):
		return c.conflict(ctx, v, f, conflict)
	case errors.As(err, &unknown):
		return c.fail(exitUnknown, err)
	}
	return c.fail(exitFailure, err)
}

// conflict prints the changes of both documents since the common base.
func (c *invocation) conflict(ctx context.Context, v *versions, f *vanillalug.Fleet, e *ConflictError) int {
	fmt.Fprintln(c.stderr, e)
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
	fmt.Fprintf(c.stdout, "changes of version %d since version %d:\n", e.other.Head().Version(), e.base)
	printChanges(c, register.Diff(old, theirs))
	fmt.Fprintf(c.stdout, "changes of your document since version %d:\n", e.base)
	printChanges(c, register.Diff(old, f.Canonical()))
	return exitConflict
}
