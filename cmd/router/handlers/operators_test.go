package handlers

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/office"
	"vanillalug.example/peer"
)

// TestStatusOfEvacuatedPlaces guards against a router of an older build, which doesn't
// state evacuated places, being shown as one without any.
func TestStatusOfEvacuatedPlaces(t *testing.T) {
	known := uint64(1500)
	tests := map[string]struct {
		evacuations *peer.Evacuations
		want        string
	}{
		"older build":   {nil, ""},
		"none":          {&peer.Evacuations{}, "[]"},
		"known":         {&peer.Evacuations{Places: []*peer.EvacuatedPlace{{Place: "p", EvacuatedMs: &known, InFlight: 2}}}, `[{"place":"p","evacuated-ms":1500,"in-flight":2}]`},
		"unknown since": {&peer.Evacuations{Places: []*peer.EvacuatedPlace{{Place: "p"}}}, `[{"place":"p","in-flight":0}]`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(routerStatus(office.MemberStatus{Status: &peer.GetStatusReply{Evacuations: tt.evacuations}}))
			require.NoError(t, err)
			var fields map[string]json.RawMessage
			require.NoError(t, json.Unmarshal(raw, &fields))
			require.Equal(t, tt.want, string(fields["evacuated-places"]))
		})
	}
}
