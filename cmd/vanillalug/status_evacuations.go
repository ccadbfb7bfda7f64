package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"vanillalug.example/reception"
)

// printEvacuations prints, for each evacuated place and router, since when the router
// knows it and how many of its requests still run there. It names the routers that
// don't state it while another one does.
func printEvacuations(out io.Writer, s reception.FleetStatusBody) {
	places := evacuatedPlaces(s)
	if len(places) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "EVACUATED\tROUTER\tFOR\tIN FLIGHT")
	for _, place := range places {
		for _, r := range s.Routers {
			since, inFlight := evacuationOf(r, place)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", place, r.Name, since, inFlight)
		}
	}
	_ = w.Flush()
}

// evacuatedPlaces returns the places that any router has as evacuated, in the order in
// which routers state them.
func evacuatedPlaces(s reception.FleetStatusBody) []string {
	var out []string
	known := map[string]bool{}
	for _, r := range s.Routers {
		for _, p := range r.EvacuatedPlaces {
			if !known[p.Place] {
				known[p.Place] = true
				out = append(out, p.Place)
			}
		}
	}
	return out
}

// evacuationOf returns what a router states of a place.
func evacuationOf(r reception.RouterStatusBody, place string) (since, inFlight string) {
	if r.EvacuatedPlaces == nil {
		return "unknown", "unknown"
	}
	for _, p := range r.EvacuatedPlaces {
		if p.Place != place {
			continue
		}
		since = "unknown"
		if p.EvacuatedMS != nil {
			since = (time.Duration(*p.EvacuatedMS) * time.Millisecond).Round(time.Second).String()
		}
		return since, fmt.Sprint(p.InFlight)
	}
	return "not evacuated", "-"
}
