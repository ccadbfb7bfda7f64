package main

import (
	"context"
	"fmt"

	"vanillalug.example"
)

const usageEvacuate = `vanillalug evacuate -settings FILE PLACE

Evacuate takes a place (failure domain) out of use by publishing a document in
which it is evacuated: routers send its engines and targets no new requests, and
requests in flight complete. What is known of cached chats is kept for the return.

A document with an evacuated place needs rules level 3. If the newest document
has a lower one, nothing is published unless -raise-level is given. Publishing is
rejected while a router does not support the level.

Exit codes: 0 also when the place is evacuated already, 2 for an unknown place or
a rules level that is too low, otherwise those of publish.
`

const usageRestore = `vanillalug restore -settings FILE PLACE

Restore takes a place back that was evacuated, by publishing a document in which
it is not. The rules level stays as it is.

Exit codes: 0 also when the place is not evacuated, 2 for an unknown place,
otherwise those of publish.
`

// RulesLevelTooLowError is returned when the newest document has too low a rules level
// for an evacuated place.
type RulesLevelTooLowError struct{ Level int }

// Error implements error.
func (e *RulesLevelTooLowError) Error() string {
	return fmt.Sprintf("the document has rules level %d, and an evacuated place needs %d: nothing was published; raise it with -raise-level",
		e.Level, vanillalug.EvacuatedPlaces)
}

// UnknownPlaceError is returned for a place that the newest document lacks.
type UnknownPlaceError struct{ Place string }

// Error implements error.
func (e *UnknownPlaceError) Error() string {
	return fmt.Sprintf("place %s: is not in the fleet document", e.Place)
}

// placeChange is a change of one place that an operator asked for.
type placeChange struct {
	place      string
	evacuated  bool
	raiseLevel bool
}

// apply returns the changed document, or the same one if there is nothing to change.
func (p placeChange) apply(f *vanillalug.Fleet) (*vanillalug.Fleet, error) {
	changed, ok := f.WithEvacuated(p.place, p.evacuated)
	switch {
	case !ok:
		return nil, &UnknownPlaceError{Place: p.place}
	case f.Evacuated(p.place) == p.evacuated:
		return f, nil
	case changed.RulesLevel() != f.RulesLevel() && !p.raiseLevel:
		return nil, &RulesLevelTooLowError{Level: f.RulesLevel()}
	}
	return changed, nil
}

// reason is the reason in the history.
func (p placeChange) reason() string {
	if p.evacuated {
		return "evacuate " + p.place
	}
	return "restore " + p.place
}

// unchanged says why nothing is published.
func (p placeChange) unchanged(version uint64) string {
	state := "not evacuated"
	if p.evacuated {
		state = "evacuated already"
	}
	return fmt.Sprintf("place %s is %s in version %d: nothing changes", p.place, state, version)
}

func runEvacuate(c *invocation) int {
	raise := c.flags.Bool("raise-level", false, "raise the document's rules level if it is too low")
	return c.changePlace(placeChange{evacuated: true}, raise)
}

func runRestore(c *invocation) int { return c.changePlace(placeChange{}, new(bool)) }

// changePlace publishes the newest document with one place evacuated or taken back.
func (c *invocation) changePlace(p placeChange, raiseLevel *bool) int {
	c.addSettingsFlag()
	wait := c.flags.Duration("wait", 0, "how long to wait until the version is active on every router")
	cfg, ok := c.parseWithSettings(1)
	if !ok {
		return exitUsage
	}
	p.place = c.flags.Arg(0)
	p.raiseLevel = *raiseLevel
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	v := newVersions(newPlatform(cfg))
	row, err := v.head(ctx)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	head := row.record.Head()
	f, err := v.fleet(ctx, head.Version())
	if err != nil {
		return c.fail(exitFailure, err)
	}
	changed, err := p.apply(f)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	if changed != f {
		return c.publish(cfg, changed, head.Version(), p.reason(), *wait)
	}
	fmt.Fprintln(c.stdout, p.unchanged(head.Version()))
	if *wait == 0 {
		return 0
	}
	return c.awaitActive(cfg, head, *wait)
}
