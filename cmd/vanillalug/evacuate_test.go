package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/reception"
)

const placeDocument = `[fleet]
name = duchas
rules-level = 3

[place centro]
region = santiago
evacuated = yes

[place norte]
region = santiago
`

// TestPlaceChange guards against a publication that changes nothing, that names an unknown
// place, or that raises the rules level without being told to.
func TestPlaceChange(t *testing.T) {
	low := placeDocument[:len("[fleet]\nname = duchas\n")] + "[place norte]\nregion = santiago\n"
	tests := map[string]struct {
		document  string
		change    placeChange
		evacuated []string
		unchanged string
		err       error
	}{
		"evacuate":           {placeDocument, placeChange{place: "norte", evacuated: true}, []string{"centro", "norte"}, "", nil},
		"restore":            {placeDocument, placeChange{place: "centro"}, nil, "", nil},
		"evacuated already":  {placeDocument, placeChange{place: "centro", evacuated: true}, nil, "place centro is evacuated already in version 7: nothing changes", nil},
		"not evacuated":      {placeDocument, placeChange{place: "norte"}, nil, "place norte is not evacuated in version 7: nothing changes", nil},
		"unknown":            {placeDocument, placeChange{place: "sur", evacuated: true}, nil, "", &UnknownPlaceError{Place: "sur"}},
		"restore of unknown": {placeDocument, placeChange{place: "sur"}, nil, "", &UnknownPlaceError{Place: "sur"}},
		"level too low":      {low, placeChange{place: "norte", evacuated: true}, nil, "", &RulesLevelTooLowError{Level: 1}},
		"level raised":       {low, placeChange{place: "norte", evacuated: true, raiseLevel: true}, []string{"norte"}, "", nil},
		"restore, low level": {low, placeChange{place: "norte"}, nil, "place norte is not evacuated in version 7: nothing changes", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f, err := vanillalug.ReadFleet("fleet.ini", []byte(tt.document))
			require.NoError(t, err)
			changed, err := tt.change.apply(f)
			require.Equal(t, tt.err, err)
			if tt.err != nil {
				return
			}
			if tt.unchanged != "" {
				require.Same(t, f, changed)
				require.Equal(t, tt.unchanged, tt.change.unchanged(7))
				return
			}
			require.Equal(t, tt.evacuated, changed.EvacuatedPlaces())
			_, err = vanillalug.ReadFleet("published.ini", changed.Canonical())
			require.NoError(t, err)
		})
	}
}

// TestEvacuateArguments guards against a command that publishes without a place.
func TestEvacuateArguments(t *testing.T) {
	for _, name := range []string{"evacuate", "restore"} {
		var out, errs bytes.Buffer
		require.Equal(t, exitUsage, run([]string{name, "-settings", "missing.ini"}, &out, &errs))
		require.Contains(t, errs.String(), "want 1 arguments besides flags, got 0")
	}
}

// TestStatusOfEvacuations guards against a router that says nothing of evacuated places
// and is shown as if nothing ran there.
func TestStatusOfEvacuations(t *testing.T) {
	const answer = `{"from":"r1","routers":[
		{"name":"r1","answered":true,"version":2,"evacuated-places":[{"place":"centro","evacuated-ms":61000,"in-flight":4}]},
		{"name":"r2","answered":true,"version":2,"evacuated-places":[{"place":"centro","in-flight":0}]},
		{"name":"r3","answered":true,"version":1,"evacuated-places":[]},
		{"name":"r4","answered":true,"version":1},
		{"name":"r5"}]}`
	var s reception.FleetStatusBody
	require.NoError(t, json.Unmarshal([]byte(answer), &s))
	var out bytes.Buffer
	printEvacuations(&out, s)
	require.Equal(t, `EVACUATED  ROUTER  FOR            IN FLIGHT
centro     r1      1m1s           4
centro     r2      unknown        0
centro     r3      not evacuated  -
centro     r4      unknown        unknown
centro     r5      unknown        unknown
`, out.String())
	out.Reset()
	printEvacuations(&out, reception.FleetStatusBody{Routers: s.Routers[2:]})
	require.Empty(t, out.String())
}
