package main

import (
	"context"
	"fmt"
	"net/http"

	"vanillalug.example/reception"
)

const usageDrain = `vanillalug drain -settings FILE -engine NAME | -target NAME | -router ADDRESS

Drain takes an engine or a target out of service by publishing a document in
which its state is leaving: routers send it no new requests, and requests in
flight complete. To put it back into service, publish a document with the state
live.

With -router it stops the router whose operator listener has the address: the
router reports not ready, hands the engines that it admits for over to other
routers, completes every request in flight and exits.
`

func runDrain(c *invocation) int {
	c.addSettingsFlag()
	engine := c.flags.String("engine", "", "engine to take out of service")
	target := c.flags.String("target", "", "target to take out of service")
	router := c.flags.String("router", "", "operator listener of the router to stop")
	wait := c.flags.Duration("wait", 0, "how long to wait until the version is active on every router")
	if !c.parse(0) {
		return exitUsage
	}
	cfg, err := loadSettings(c.settings)
	if err != nil {
		return c.fail(exitUsage, err)
	}
	switch {
	case *router != "":
		return c.drainRouter(cfg, *router)
	case *engine != "":
		return c.drainEngineOrTarget(cfg, "engine "+*engine, *wait)
	case *target != "":
		return c.drainEngineOrTarget(cfg, "target "+*target, *wait)
	}
	fmt.Fprintln(c.stderr, "one of -engine, -target and -router is required")
	return exitUsage
}

// drainEngineOrTarget publishes the newest document with the state of one
// section set to leaving.
func (c *invocation) drainEngineOrTarget(cfg *operatorSettings, title string, wait duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	v := newVersions(newPlatform(cfg))
	head, err := v.head(ctx)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	f, err := v.fleet(ctx, head.record.Head().Version())
	if err != nil {
		return c.fail(exitFailure, err)
	}
	drained, ok := f.WithLeaving(title)
	if !ok {
		return c.fail(exitUsage, fmt.Errorf("%s: is not in the fleet document", title))
	}
	return c.publish(cfg, drained, head.record.Head().Version(), "drain "+title, wait)
}

func (c *invocation) drainRouter(cfg *operatorSettings, address string) int {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/drain", nil)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	r.Header.Set("Authorization", "Bearer "+cfg.routerKey)
	w, err := reception.NewClient("routers").DoRequest(r)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusAccepted {
		return c.fail(exitFailure, fmt.Errorf("router at %s: status %d", address, w.StatusCode))
	}
	fmt.Fprintf(c.stdout, "router at %s is leaving\n", address)
	return 0
}
