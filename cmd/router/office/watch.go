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
	// restartSlack is how much an uptime may fall short before it counts as
	// a restart.
	restartSlack = 2 * time.Second
	// unownedTime is how long a post is kept after its last use, once another
	// router admits for the engine.
	unownedTime = 30 * time.Second
)

// PollTargets asks every target that this router is responsible for.
func (o *Router) PollTargets(time.Time) {
	f := o.Fleet()
	if f == nil {
		return
	}
	for _, e := range f.Engines() {
		owned := o.owns(e.Name())
		p, ok := o.posts.get(e.Name())
		if owned && !ok {
			p, _ = o.posts.getOrAdd(e.Name(), func() *post { return newPost(o, e.Name(), e.Slots()) })
			p.touch(o.clock.Now())
		}
		if owned || ok {
			go o.watchEngine(p, e)
		}
	}
	for _, t := range f.Targets() {
		if o.owns(t.Name()) {
			go o.watchWorker(t)
		}
	}
}

// watchEngine asks an engine for its load.
func (o *Router) watchEngine(p *post, e vanillalug.Engine) {
	ctx, done := background(reportTimeout)
	defer done()
	p.health.SetLeaving(dispatch.ByDocument, e.Leaving())
	report, err := o.engines.Report(ctx, e.Address())
	if err != nil {
		meter.Count("report_failures", "target", e.Name())
		p.health.RecordFailure()
	} else {
		o.reported(p, report)
	}
	p.markReady()
	if o.owns(e.Name()) {
		o.loads.Put(dispatch.NewLoad(e.Name(), p.desk.Load(), p.health.Condition(), o.clock.Now()))
	}
	if f := o.Fleet(); f != nil {
		p.handle(desk.PoolChanged{Pool: o.pool(f, e)})
		p.handle(desk.Tick{})
	}
}

func (o *Router) reported(p *post, r courier.Report) {
	p.health.SetLeaving(dispatch.ByTarget, r.Leaving)
	p.health.RecordSuccess()
	p.handle(desk.LoadReported{InFlight: r.InFlight, Age: r.Age})
	p.mu.Lock()
	restarted := r.Uptime+restartSlack < p.uptime
	p.uptime = r.Uptime
	p.mu.Unlock()
	if restarted {
		o.carryKeeper(p, p.keeper.Handle(dispatch.EngineRestarted{}))
	}
}

func (o *Router) watchWorker(t vanillalug.Target) {
	ctx, done := background(reportTimeout)
	defer done()
	h := o.targets.health(o.clock, t.Name())
	h.SetLeaving(dispatch.ByDocument, t.Leaving())
	report, err := o.calls.Report(ctx, t.Address())
	if err != nil {
		meter.Count("report_failures", "target", t.Name())
		h.RecordFailure()
	} else {
		h.SetLeaving(dispatch.ByTarget, report.Leaving)
		h.RecordSuccess()
	}
	o.loads.Put(dispatch.NewLoad(t.Name(), 0, h.Condition(), o.clock.Now()))
}

// ReadCacheEvents reads the cache events of every engine that this router
// admits for.
func (o *Router) ReadCacheEvents(time.Time) {
	f := o.Fleet()
	if f == nil {
		return
	}
	for _, p := range o.posts.all() {
		e, ok := f.Engine(p.engine)
		if ok && o.owns(e.Name()) {
			go o.readCacheEvents(p, e)
		}
	}
}

func (o *Router) readCacheEvents(p *post, e vanillalug.Engine) {
	if !p.beginSync() {
		return
	}
	defer p.endSync()
	ctx, done := background(cacheTimeout)
	defer done()
	if !p.keeper.Complete() {
		o.syncCache(ctx, p, e)
		return
	}
	b, err := o.engines.CacheEvents(ctx, e.Address(), p.events)
	if err != nil {
		meter.Count("cache_event_failures", "engine", e.Name())
		return
	}
	changes := make([]dispatch.CacheChange, 0, len(b.Events))
	for _, ev := range b.Events {
		changes = append(changes, dispatch.NewCacheChange(ev.Chat, ev.Stored))
	}
	o.carryKeeper(p, p.keeper.Handle(dispatch.CacheChanged{First: b.First, Changes: changes}))
	if len(changes) > 0 {
		p.events = b.First + uint64(len(changes)) - 1
	}
}

// syncCache reads the whole list of cached chats.
func (o *Router) syncCache(ctx context.Context, p *post, e vanillalug.Engine) {
	b, err := o.engines.CachedChats(ctx, e.Address())
	if err != nil {
		meter.Count("cache_event_failures", "engine", e.Name())
		return
	}
	p.keeper.Handle(dispatch.CacheSynced{Last: b.Last, Chats: b.Chats})
	p.events = b.Last
}

// carryKeeper counts resyncs; the next read of cache events does them.
func (o *Router) carryKeeper(p *post, effects []dispatch.Effect) {
	for _, e := range effects {
		if _, ok := e.(dispatch.Resync); ok {
			meter.Count("cache_resyncs", "engine", p.engine)
		}
	}
}

// HandOverEngines gives away the posts of engines that other routers admit for.
func (o *Router) HandOverEngines(now time.Time) {
	for _, p := range o.posts.all() {
		if o.owns(p.engine) || !p.desk.Idle() || now.Sub(p.idleSince()) < unownedTime {
			continue
		}
		o.handOver(p)
		o.posts.remove(p.engine)
	}
}
