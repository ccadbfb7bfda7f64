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

Status asks one router, which asks all the others, and shows for each its
version of the fleet document, digest, rules level in force and since when, its
build with the levels that it can follow, whether it is ready, and whether the
fleet agrees.

Exit codes: 0 when every router answered and all have the same version in
force, 4 otherwise.
`

type duration = time.Duration

const (
	statusTimeout = 10 * time.Second
	// routerTimeout is how long one router may take to ask all the others.
	routerTimeout = 3 * time.Second
	awaitPause    = 250 * time.Millisecond
)

func runStatus(c *call) int {
	c.withSettings()
	c.withJSON()
	cfg, ok := c.begin(0)
	if !ok {
		return exitUsage
	}
	ctx, done := context.WithTimeout(context.Background(), statusTimeout)
	defer done()
	s, err := askStatus(ctx, cfg)
	if err != nil {
		return c.fail(exitFailure, err)
	}
	if c.json {
		c.writeJSON(s)
	} else {
		printStatus(c.out, s)
	}
	if !agree(s) {
		return exitDisagree
	}
	return 0
}

// askStatus asks the routers of the settings in turn until one answers.
func askStatus(ctx context.Context, cfg *operatorSettings) (reception.FleetStatusBody, error) {
	client := reception.NewClient("routers")
	var errs []error
	for _, address := range cfg.routers {
		s, err := askRouter(ctx, client, address, cfg.routerKey)
		if err == nil {
			return s, nil
		}
		errs = append(errs, fmt.Errorf("router at %s: %w", address, err))
	}
	return reception.FleetStatusBody{}, errors.Join(errs...)
}

func askRouter(ctx context.Context, client *reception.Client, address, key string) (reception.FleetStatusBody, error) {
	var s reception.FleetStatusBody
	ctx, done := context.WithTimeout(ctx, routerTimeout)
	defer done()
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

// agree reports whether every router answered and has the same document in
// force.
func agree(s reception.FleetStatusBody) bool {
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
			r.LowestLevel, r.HighestLevel, r.Version, r.Digest, r.RulesLevel, since.Round(time.Second), readyWord(r))
	}
	_ = w.Flush()
	if agree(s) {
		fmt.Fprintf(out, "the fleet agrees: version %d, rules level %d\n", s.Routers[0].Version, s.Routers[0].RulesLevel)
		return
	}
	fmt.Fprintln(out, "THE FLEET DOES NOT AGREE")
}

func readyWord(r reception.RouterStatusBody) string {
	if r.Ready {
		return "yes"
	}
	return "no: " + r.State
}

// cannotFollow names the routers that cannot follow a rules level or did not
// say whether they can.
func cannotFollow(s reception.FleetStatusBody, level int) []string {
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

// awaitInForce waits until every router has the version in force.
func (c *call) awaitInForce(cfg *operatorSettings, h register.Head, limit time.Duration) int {
	ctx, done := context.WithTimeout(context.Background(), limit)
	defer done()
	begun := time.Now()
	for {
		s, err := askStatus(ctx, cfg)
		if err == nil && agree(s) && s.Routers[0].Version >= h.Version() {
			fmt.Fprintf(c.out, "in force at %d routers after %s\n", len(s.Routers), time.Since(begun).Round(time.Millisecond))
			return 0
		}
		select {
		case <-ctx.Done():
			fmt.Fprintln(c.errs, "not every router has the version in force")
			return exitDisagree
		case <-time.After(awaitPause):
		}
	}
}
