package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// minEvacuation and maxEvacuation bound how long a failure domain stays evacuated: longer than
	// evacuationTimeout, so that there is something to check.
	minEvacuation = 7 * time.Second
	maxEvacuation = 12 * time.Second
	// streamLead is how long before an evacuation the streams there become slow, so that some are
	// running when it begins.
	streamLead = 300 * time.Millisecond
	// evacuateAgainOneIn makes one restore in so many be followed by another evacuation of the same
	// failure domain within a second.
	evacuateAgainOneIn = 3
	evacuateAgainTime  = time.Second
	// lastTime is for how long requests count in the last evacuation, and lastTimeout how long that
	// takes at most: the extended bound, and faults that end late.
	lastTime    = time.Second
	lastTimeout = 20 * time.Second
	// disturbOneIn makes a fault begin together with one write of a row in so many.
	disturbOneIn = 4
)

// disturbances are the faults that the news of an evacuation may meet.
var disturbances = []fault{failStore, killAllRouters, killRouter, stopRouter, pauseRouter, disruptStoreLink, compactStore}

// places are the failure domains of the targets and of the routers, which prefer targets of their own.
var places = []string{"a", "b"}

// placeOf returns the failure domain of the nth target. Each has targets of every service.
func placeOf(n int) string { return places[(n-1)/len(services)%len(places)] }

// evacuation is the time for which a failure domain was evacuated.
type evacuation struct {
	place string
	// acknowledged is when the store had written the row, and removed when it began to delete it.
	acknowledged, removed time.Time
	// ready are the targets of the domain that were in use when it was restored.
	ready []*platformtest.Target
}

// EvacuatePlaces evacuates failure domains for some seconds each, until the end time, and gives the
// routers time then to use the last one again. It counts as no fault: the time limits hold.
func (h *Harness) EvacuatePlaces(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * shortPause))))
		place := places[random.IntN(len(places))]
		h.setStreams(place, platformtest.SlowStream)
		time.Sleep(streamLead)
		h.disturb(random)
		h.evacuate(place)
		length := minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))
		time.Sleep(min(length, time.Until(end)))
		h.disturb(random)
		h.restorePlace(place)
		if random.IntN(evacuateAgainOneIn) == 0 {
			time.Sleep(time.Duration(random.Int64N(int64(evacuateAgainTime))))
			h.evacuate(place)
			time.Sleep(min(length, time.Until(end)))
			h.restorePlace(place)
		}
		h.setStreams(place, platformtest.Serve)
	}
	h.evacuateLast(places[random.IntN(len(places))], random)
	time.Sleep(returnTimeout)
}

// evacuateLast evacuates a failure domain when no more faults begin, until requests have counted for
// lastTime, so that every seed checks some.
func (h *Harness) evacuateLast(place string, random *rand.Rand) {
	h.disturb(random)
	h.evacuate(place)
	last := h.evacuations[len(h.evacuations)-1]
	for limit := time.Now().Add(lastTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
		counted := time.Now().Add(-lastTime)
		if counted.After(last.deadline(h.contact)) && h.allInTouch(counted) {
			break
		}
	}
	h.restorePlace(place)
}

func (h *Harness) allInTouch(at time.Time) bool {
	for _, r := range h.Routers {
		if !h.contact.inTouch(r, at) {
			return false
		}
	}
	return true
}

// disturb begins a fault at times.
func (h *Harness) disturb(random *rand.Rand) {
	if random.IntN(disturbOneIn) == 0 {
		h.inject(disturbances[random.IntN(len(disturbances))], random)
	}
}

// setStreams sets what the targets of a failure domain that stream do by default.
func (h *Harness) setStreams(place string, b platformtest.Behaviour) {
	for _, t := range h.readyTargets(place) {
		if t.Service == engineService {
			t.SetDefault(b)
		}
	}
}

// readyTargets returns the targets of a failure domain that are in use.
func (h *Harness) readyTargets(place string) []*platformtest.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*platformtest.Target
	for _, t := range h.targets {
		if t.Place == place {
			out = append(out, t)
		}
	}
	return out
}

func (h *Harness) evacuate(place string) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.evacuated[place] = true
	h.putEvacuation(place)
	h.evacuations = append(h.evacuations, evacuation{place: place, acknowledged: time.Now()})
	h.record(fmt.Sprintf("%s evacuated", place))
}

func (h *Harness) restorePlace(place string) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.evacuated[place] = false
	last := &h.evacuations[len(h.evacuations)-1]
	last.removed, last.ready = time.Now(), h.readyTargets(place)
	h.coolRestored(*last)
	h.putEvacuation(place)
	h.record(fmt.Sprintf("%s restored", place))
}

// putEvacuation writes the row that says that a failure domain is evacuated, or deletes it; the
// caller holds registryMu.
func (h *Harness) putEvacuation(place string) {
	if h.evacuated[place] {
		h.store.PutJSON("op", "evacuate/"+place, struct{}{})
		return
	}
	h.store.Delete("op", "evacuate/"+place)
}
