package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vanillalug.example/platform/platformtest"
)

// routesPerStep is by how many routes the routing table grows with each of growthSteps versions.
const (
	routesPerStep = 700
	growthSteps   = 4
)

// softwareVersions is the number of versions of which targets serve side by side.
const softwareVersions = 2

// Reconfigure publishes versions and replaces targets until the end time.
func (h *Harness) Reconfigure(random *rand.Rand, end time.Time) error {
	for time.Now().Before(end) {
		time.Sleep(changeInterval/2 + time.Duration(random.Int64N(int64(changeInterval))))
		h.publish()
		if random.IntN(2) == 0 {
			if err := h.replaceTarget(random); err != nil {
				return err
			}
		}
	}
	return nil
}

// publish writes the next version of the routing table. Each version has a route
// of its own, which shows whether a router has activated it.
func (h *Harness) publish() {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.mu.Lock()
	h.version++
	v := h.version
	h.mu.Unlock()
	h.putVersion(v)
	h.record(fmt.Sprintf("version %d", v))
}

func (h *Harness) putVersion(v int) {
	timeout := int(callTimeout.Milliseconds())
	route := func(prefix, kind, service string, resumable bool) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: kind, Service: service, Attempts: 2, TimeoutMS: timeout, Resumable: resumable}
	}
	cold := route("/cold/", platformtest.Idempotent, coldService, false)
	if h.hardLoad {
		cold.ColdSeconds, cold.ColdRate = coldStart.Seconds(), coldRate
	}
	prompts := route("/prompt/", platformtest.Streaming, promptService, false)
	prompts.Engine = true
	streams := route("/stream/", platformtest.Streaming, engineService, true)
	streams.Engine = h.hardLoad
	table := append(h.furtherRoutes(v, route), cold, prompts,
		route("/safe/", platformtest.Idempotent, plainService, false),
		route("/once/", platformtest.NonIdempotent, plainService, false),
		streams,
		route("/broken/", platformtest.Streaming, engineService, false),
		route(versionPath(v), platformtest.Idempotent, plainService, false))
	h.store.PutJSON("op", "config", platformtest.RoutingTable(v, []string{APIKey}, table...))
}

// furtherRoutes returns routes that nobody calls: the table grows with the versions, and becomes short
// again. Older builds would need longer than the limit for a long one.
func (h *Harness) furtherRoutes(v int, route func(prefix, kind, service string, resumable bool) platformtest.Route) []platformtest.Route {
	if !h.hardLoad {
		return nil
	}
	var out []platformtest.Route
	for i := range v % growthSteps * routesPerStep {
		out = append(out, route(fmt.Sprintf("/further-%x/", i), platformtest.Idempotent, plainService, false))
	}
	return out
}

func versionPath(v int) string { return fmt.Sprintf("/version-%d/", v) }

func (h *Harness) addTarget(service string) error {
	h.mu.Lock()
	h.lastTarget++
	id, place := fmt.Sprintf("%s-%d", service, h.lastTarget), placeOf(h.lastTarget)
	version := fmt.Sprintf("v%d", h.lastTarget/softwareVersions%softwareVersions)
	h.mu.Unlock()
	t, err := platformtest.NewTarget(id, service, service == engineService)
	if err != nil {
		return err
	}
	t.SoftwareVersion, t.Place = version, place
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.mu.Lock()
	h.targets = append(h.targets, t)
	h.all = append(h.all, t)
	h.mu.Unlock()
	if service == coldService {
		h.cool(t, coldStart, true)
	}
	h.putEntry(t, "ready")
	return nil
}

// replaceTarget starts a new target and drains or deregisters an old one of the
// same service, which may state first in its responses that it is leaving.
func (h *Harness) replaceTarget(random *rand.Rand) error {
	old := h.randomTarget(random)
	if err := h.addTarget(old.Service); err != nil {
		return err
	}
	h.forget(old)
	if random.IntN(2) == 0 {
		old.SetLeaving(true)
		h.record(old.ID + " states that it is leaving")
		time.Sleep(changeInterval)
	}
	h.remove(old, random.IntN(2) == 0)
	return nil
}

// forget takes a target out of those that are in use.
func (h *Harness) forget(old *platformtest.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = slices.DeleteFunc(slices.Clone(h.targets), func(t *platformtest.Target) bool { return t == old })
}

// remove removes a target, whose entry stays and says so if it is draining.
func (h *Harness) remove(old *platformtest.Target, draining bool) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.mu.Lock()
	h.draining[old] = draining
	h.removed[old] = time.Now()
	h.mu.Unlock()
	old.SetHealth(platformtest.Unhealthy)
	h.putRemoved(old)
	h.record(old.ID + " removed")
}

func (h *Harness) randomTarget(random *rand.Rand) *platformtest.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.targets[random.IntN(len(h.targets))]
}

// inUse reports whether a target was not replaced.
func (h *Harness) inUse(t *platformtest.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.targets, t)
}
