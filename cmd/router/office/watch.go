package office

import (
	"context"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

const (
	reportTimeout = time.Second
	cacheTimeout  = 5 * time.Second
	// uptimeTolerance is by how much a reported uptime may be lower than the last one
	// before it counts as a restart.
	uptimeTolerance = 2 * time.Second
	// unownedIdleTime is how long the state of an engine is kept after its last request
	// once another router admits for the engine.
	unownedIdleTime = 30 * time.Second
)

// PollTargets polls the load and health of every target that this router admits for.
func (r *Router) PollTargets(time.Time) {
	f := r.Fleet()
	if f == nil {
		return
	}
	// Covers engines whose state is new, and the gauges.
	r.applyEvacuations()
	for _, e := range f.Engines() {
		owned := r.owns(e.Name())
		es, ok := r.engineStates.get(e.Name())
		if owned && !ok {
			es, _ = r.engineStates.getOrAdd(e.Name(), func() *engineState { return newEngineState(r, e.Name(), e.Slots()) })
			es.markUsed(r.clock.Now())
		}
		if owned || ok {
			go r.pollEngine(es, e)
		}
	}
	for _, t := range f.Targets() {
		if r.owns(t.Name()) {
			go r.pollWorker(t)
		}
	}
}

// pollEngine requests the load report of an engine.
func (r *Router) pollEngine(es *engineState, e vanillalug.Engine) {
	ctx, done := detachedContext(reportTimeout)
	defer done()
	es.health.SetLeaving(dispatch.ByDocument, e.Leaving())
	report, err := r.engines.Report(ctx, e.Address())
	if err != nil {
		meter.Count("report_failures", "target", e.Name())
		es.health.RecordFailure()
	} else {
		r.handleReport(es, report)
	}
	es.markReady()
	if r.owns(e.Name()) {
		r.loads.Put(dispatch.NewLoad(e.Name(), es.admission.Load(), es.health.Condition(), r.clock.Now()))
	}
	if f := r.Fleet(); f != nil {
		es.handle(desk.PoolChanged{Pool: r.pool(f, e)})
		es.handle(desk.Tick{})
	}
}

func (r *Router) handleReport(es *engineState, report courier.Report) {
	es.health.SetLeaving(dispatch.ByTarget, report.Leaving)
	es.health.RecordSuccess()
	es.handle(desk.LoadReported{InFlight: report.InFlight, Age: report.Age})
	es.mu.Lock()
	restarted := report.Uptime+uptimeTolerance < es.uptime
	es.uptime = report.Uptime
	es.mu.Unlock()
	if restarted {
		r.countResyncs(es, es.cacheIndex.Handle(dispatch.EngineRestarted{}))
	}
}

func (r *Router) pollWorker(t vanillalug.Target) {
	ctx, done := detachedContext(reportTimeout)
	defer done()
	h := r.targets.health(r.clock, t.Name())
	h.SetLeaving(dispatch.ByDocument, t.Leaving())
	report, err := r.calls.Report(ctx, t.Address())
	if err != nil {
		meter.Count("report_failures", "target", t.Name())
		h.RecordFailure()
	} else {
		h.SetLeaving(dispatch.ByTarget, report.Leaving)
		h.RecordSuccess()
	}
	r.loads.Put(dispatch.NewLoad(t.Name(), 0, h.Condition(), r.clock.Now()))
}

// ReadCacheEvents reads the new cache events of every engine that this router
// admits for.
func (r *Router) ReadCacheEvents(time.Time) {
	f := r.Fleet()
	if f == nil {
		return
	}
	for _, es := range r.engineStates.all() {
		e, ok := f.Engine(es.engine)
		if ok && r.owns(e.Name()) {
			go r.readCacheEvents(es, e)
		}
	}
}

func (r *Router) readCacheEvents(es *engineState, e vanillalug.Engine) {
	if !es.beginSync() {
		return
	}
	defer es.endSync()
	ctx, done := detachedContext(cacheTimeout)
	defer done()
	if !es.cacheIndex.Complete() {
		r.syncCache(ctx, es, e)
		return
	}
	b, err := r.engines.CacheEvents(ctx, e.Address(), es.lastEvent)
	if err != nil {
		meter.Count("cache_event_failures", "engine", e.Name())
		return
	}
	changes := make([]dispatch.CacheChange, 0, len(b.Events))
	for _, ev := range b.Events {
		changes = append(changes, dispatch.NewCacheChange(ev.Chat, ev.Stored))
	}
	r.countResyncs(es, es.cacheIndex.Handle(dispatch.CacheChanged{First: b.First, Changes: changes}))
	if len(changes) > 0 {
		es.lastEvent = b.First + uint64(len(changes)) - 1
	}
}

// syncCache reads the complete list of cached chats.
func (r *Router) syncCache(ctx context.Context, es *engineState, e vanillalug.Engine) {
	b, err := r.engines.CachedChats(ctx, e.Address())
	if err != nil {
		meter.Count("cache_event_failures", "engine", e.Name())
		return
	}
	es.cacheIndex.Handle(dispatch.CacheSynced{Last: b.Last, Chats: b.Chats})
	es.lastEvent = b.Last
}

// countResyncs counts the requested resyncs. The next read of cache events performs
// them.
func (r *Router) countResyncs(es *engineState, effects []dispatch.Effect) {
	for _, e := range effects {
		if _, ok := e.(dispatch.Resync); ok {
			meter.Count("cache_resyncs", "engine", es.engine)
		}
	}
}

// HandOverEngines hands over and removes the states of idle engines that other
// routers admit for.
func (r *Router) HandOverEngines(now time.Time) {
	for _, es := range r.engineStates.all() {
		if r.owns(es.engine) || !es.admission.Idle() || now.Sub(es.idleSince()) < unownedIdleTime {
			continue
		}
		r.handOver(es)
		r.engineStates.remove(es.engine)
	}
}
