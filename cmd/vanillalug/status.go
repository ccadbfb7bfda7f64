package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"vanillalug.example"
	"vanillalug.example/reception"
	"vanillalug.example/register"
)

const usageStatus = `vanillalug status -settings FILE

Status queries one router, which queries all the others. It shows for each its
build, the rules levels that it supports, the version, digest and rules level of
its active fleet document, how long the document has been active, and whether
the router is ready. A second table has the evacuated places: for how long each
router has known it ("unknown" if it started later), and how many of its requests
still run there. The last line says whether all routers have the same document.

Exit codes: 0 when every router answered and all have the same active version,
4 otherwise.
`

type duration = time.Duration

const (
	statusTimeout = 10 * time.Second
	// routerTimeout is how long one router may take to query all the others.
	routerTimeout = 3 * time.Second
	pollInterval  = 250 * time.Millisecond
)

func runStatus(c *invocation) int {
	c.addSettingsFlag()
	c.addJSONFlag()
	cfg, ok := c.parseWithSettings(0)
	if !ok {
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := fetchStatus(ctx, cfg)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if c.json {
		c.writeJSON(s)
	} else {
		printStatus(c.stdout, s)
	}
	if !consistent(s) {
		return exitInconsistent
	}
	return 0
}

// fetchStatus queries the routers of the settings in turn until one answers.
func fetchStatus(ctx context.Context, cfg *operatorSettings) (reception.FleetStatusBody, error) {
	client := reception.NewClient("routers")
	var errs []error
	for _, address := range cfg.routers {
		s, err := fetchStatusFrom(ctx, client, address, cfg.routerKey)
		if err == nil {
			return s, nil
		}
		errs = append(errs, fmt.Errorf("router at %s: %w", address, err))
	}
	return reception.FleetStatusBody{}, errors.Join(errs...)
}

func fetchStatusFrom(ctx context.Context, client *reception.Client, address, key string) (reception.FleetStatusBody, error) {
	var s reception.FleetStatusBody
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return s, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	w, err := client.DoRequest(r)
	if err != nil {
		return s, err
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(w.Body, 256))
		return s, fmt.Errorf("status %d: %s", w.StatusCode, raw)
	}
	return s, json.NewDecoder(w.Body).Decode(&s)
}

// consistent reports whether every router answered, has the same active document
// and has seen no newer one with a rules level that it does not support.
func consistent(s reception.FleetStatusBody) bool {
	for _, r := range s.Routers {
		first := s.Routers[0]
		if !r.Answered || r.Version != first.Version || r.Digest != first.Digest || r.UnsupportedLevel != 0 {
			return false
		}
	}
	return len(s.Routers) > 0
}

func printStatus(out io.Writer, s reception.FleetStatusBody) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tPLACE\tMEMBER\tBUILD\tLEVELS\tVERSION\tDIGEST\tRULES LEVEL\tIN FORCE FOR\tREADY")
	for _, r := range s.Routers {
		if !r.Answered {
			fmt.Fprintf(w, "%s\t%s\t%s\t-\t-\t-\t-\t-\t-\tno answer\n", r.Name, r.Place, r.Member)
			continue
		}
		since := time.Duration(r.ActiveMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d-%d\t%d\t%.12s\t%d\t%s\t%s\n", r.Name, r.Place, r.Member, r.Build,
			r.LowestLevel, r.HighestLevel, r.Version, r.Digest, r.RulesLevel, since.Round(time.Second), readyText(r))
	}
	_ = w.Flush()
	printEvacuations(out, s)
	if consistent(s) {
		fmt.Fprintf(out, "the fleet agrees: version %d, rules level %d\n", s.Routers[0].Version, s.Routers[0].RulesLevel)
		return
	}
	fmt.Fprintln(out, "THE FLEET DOES NOT AGREE")
}

func readyText(r reception.RouterStatusBody) string {
	if r.Ready {
		return "yes"
	}
	return "no: " + r.State
}

// routersLackingLevel returns a line for each router that does not support the
// rules level or did not answer.
func routersLackingLevel(s reception.FleetStatusBody, level int) []string {
	var out []string
	for _, r := range s.Routers {
		levels := vanillalug.NewLevelRange(r.LowestLevel, r.HighestLevel)
		switch {
		case !r.Answered:
			out = append(out, fmt.Sprintf("router %s did not answer: %s", r.Name, r.Error))
		case !levels.Supports(level):
			out = append(out, fmt.Sprintf("router %s (build %s) follows %s", r.Name, r.Build, levels))
		}
	}
	return out
}

// awaitActive waits until the version is active on every router.
func (c *invocation) awaitActive(cfg *operatorSettings, h register.Head, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	for {
		s, err := fetchStatus(ctx, cfg)
		if err == nil && consistent(s) && s.Routers[0].Version >= h.Version() {
			fmt.Fprintf(c.stdout, "in force at %d routers after %s\n", len(s.Routers), time.Since(start).Round(time.Millisecond))
			return 0
		}
		select {
		case <-ctx.Done():
			fmt.Fprintln(c.stderr, "not every router has the version in force")
			return exitInconsistent
		case <-time.After(pollInterval):
		}
	}
}
