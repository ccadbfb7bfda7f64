package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// evacuationBegin is a time long after the faults of the tests below, if they have none.
var evacuationBegin = time.Unix(1_000_000, 0)

func seconds(s float64) time.Time {
	return evacuationBegin.Add(time.Duration(s * float64(time.Second)))
}

// trackerOf returns a tracker with one fault, unless its times are the same.
func trackerOf(begin, end float64) *FaultTracker {
	if begin == end {
		return &FaultTracker{}
	}
	return &FaultTracker{spans: []span{{begin: seconds(begin), end: seconds(end)}}, lastEnd: seconds(end)}
}

// TestEvacuatedDomainIsSentRequests guards against a check that overlooks requests at evacuated
// targets, or that counts those that the page allows: of routers out of touch, and before the bound.
func TestEvacuatedDomainIsSentRequests(t *testing.T) {
	tests := map[string]struct {
		at                    float64
		disrupted, started    float64
		link, fault, replaced [2]float64
		unknown               bool
		late                  bool
	}{
		"within the bound":              {at: 4.9},
		"after the bound":               {at: 5.1, late: true},
		"after the domain was restored": {at: 10.1},
		"not a caller's request":        {at: 5.1, unknown: true},
		"router was paused":             {at: 6, disrupted: 2.1},
		"router was paused before":      {at: 6, disrupted: 1.9, late: true},
		"router has just started":       {at: 6, started: 2.1},
		"router started before":         {at: 6, started: 1.9, late: true},
		"store is silent":               {at: 6, fault: [2]float64{3, 9}},
		"store was silent before":       {at: 9.5, fault: [2]float64{1, 5}, late: true},
		"path to the store is cut":      {at: 6, link: [2]float64{3, 9}},
		"path to the store was cut":     {at: 9.5, link: [2]float64{1, 5}, late: true},
		"store was replaced":            {at: 6, replaced: [2]float64{1, 2}},
		"store was replaced, too late":  {at: 11.5, replaced: [2]float64{1, 2}, late: true},
		"store is replaced afterwards":  {at: 9, replaced: [2]float64{8, 8.5}, late: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Router{Name: "r0"}
			if tt.disrupted != 0 {
				r.disruptions = []time.Time{seconds(tt.disrupted)}
			}
			if tt.started != 0 {
				r.startTimes = []time.Time{seconds(tt.started)}
			}
			r.storeLink.spans = trackerOf(tt.link[0], tt.link[1]).spans
			c := contact{storeFaults: trackerOf(tt.fault[0], tt.fault[1]), storeReplaced: trackerOf(tt.replaced[0], tt.replaced[1])}
			a := sentArrival{Arrival: platformtest.Arrival{At: seconds(tt.at), ID: "c-1"}, router: r}
			if tt.unknown {
				a.router = nil
			}
			e := evacuation{place: "a", acknowledged: seconds(0), removed: seconds(10)}
			if tt.at > 11 {
				e.removed = seconds(20)
			}
			require.Equal(t, tt.late, len(e.checkArrivals("booking-1", []sentArrival{a}, c)) > 0)
		})
	}
}

// TestRestoredDomainIsNotUsed guards against a check that overlooks a failure domain that stays
// unused after it was restored.
func TestRestoredDomainIsNotUsed(t *testing.T) {
	tests := map[string]struct {
		arrival        float64
		unused         float64
		fault          [2]float64
		removedTargets bool
		violation      bool
	}{
		"used again":                     {arrival: 3, unused: 60},
		"never used":                     {arrival: -1, unused: 60, violation: true},
		"used too late":                  {arrival: 6, unused: 60, violation: true},
		"used after a fault":             {arrival: 6, unused: 60, fault: [2]float64{1, 2}},
		"never used after a fault":       {arrival: -1, unused: 60, fault: [2]float64{1, 2}, violation: true},
		"evacuated again":                {arrival: -1, unused: 2},
		"its targets have been replaced": {arrival: -1, unused: 60, removedTargets: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Harness{
				tracker:     trackerOf(tt.fault[0], tt.fault[1]),
				evacuations: []evacuation{{place: "a", removed: seconds(0), ready: []*platformtest.Target{{ID: "t"}}}},
			}
			e := h.evacuations[0]
			arrivals := map[*platformtest.Target][]sentArrival{
				e.ready[0]: {{Arrival: platformtest.Arrival{At: seconds(tt.arrival)}}},
			}
			removed := map[*platformtest.Target]time.Time{}
			if tt.removedTargets {
				removed[e.ready[0]] = seconds(4)
			}
			got := e.checkReturn(h.returnDeadline(e), h.unusedFrom(0, seconds(tt.unused)), arrivals, removed)
			require.Equal(t, tt.violation, len(got) > 0)
		})
	}
}

// TestRunningRequestIsCut guards against a check that overlooks that an evacuation cuts or moves the
// streams that run at the evacuated targets, or that takes other cuts for its own.
func TestRunningRequestIsCut(t *testing.T) {
	whole := Call{ID: "c-1", Path: "/stream/x", Router: "r0", Sent: seconds(-0.6), Status: http.StatusOK, Body: platformtest.Stream()}
	cut := whole
	cut.Body, cut.Err = platformtest.Event(1), errCut
	require.Empty(t, endedProperly("models-1", whole, false))
	require.NotEmpty(t, endedProperly("models-1", whole, true), "moved to another target")
	require.NotEmpty(t, endedProperly("models-1", cut, false))

	there := &platformtest.Target{Place: "a"}
	tests := map[string]struct {
		fault      [2]float64
		restarted  bool
		began      float64
		other, has bool
	}{
		"no fault":                        {began: -0.5, has: true},
		"began later":                     {began: 0.5},
		"ended before":                    {began: -1},
		"in another domain":               {began: -0.5, other: true},
		"target has a fault":              {began: -0.5, fault: [2]float64{-0.1, 0.1}},
		"target has had a fault":          {began: -0.5, fault: [2]float64{-2, -1}, has: true},
		"router is killed":                {began: -0.5, restarted: true},
		"little is left of caller's time": {began: -0.05},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Router{Name: "r0"}
			if tt.restarted {
				r.disruptions = []time.Time{seconds(0)}
			}
			place := "a"
			if tt.other {
				place = "b"
			}
			h := &Harness{
				Routers:      []*Router{r},
				evacuations:  []evacuation{{place: place, acknowledged: seconds(0), removed: seconds(10)}},
				targetFaults: map[*platformtest.Target]*FaultTracker{there: trackerOf(tt.fault[0], tt.fault[1])},
			}
			began := seconds(tt.began)
			require.Equal(t, tt.has, h.runningAtEvacuation(there, began) && h.hasToEnd(there, whole, began))
		})
	}
}
