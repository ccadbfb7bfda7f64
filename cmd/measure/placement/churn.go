package placement

import "time"

// scheduleChurn schedules the joins, leaves, flaps and replacements of a run.
func (f *fleet) scheduleChurn() {
	f.setEngineUp("e09", false, true)
	f.runAt(8*time.Minute, func() { f.setEngineUp("e09", true, true) })
	f.runAt(12*time.Minute, func() { f.setEngineUp("e03", false, false) })
	f.runAt(16*time.Minute, func() { f.setEngineUp("e03", true, true) })
	for i := range 3 {
		down := 28*time.Minute + time.Duration(i)*40*time.Second
		f.runAt(down, func() { f.setEngineUp("e05", false, false) })
		f.runAt(down+10*time.Second, func() { f.setEngineUp("e05", true, false) })
	}
	f.runAt(33*time.Minute, func() { f.setEngineUp("e07", false, false) })
	for i := range 6 {
		f.runAt(time.Duration(10+4*i)*time.Minute, func() { f.replaceRouter(3 * i % f.d.routers) })
	}
}

// scheduleReplacement schedules the replacement of every router by an empty one.
func (f *fleet) scheduleReplacement() {
	f.runAt(ReplaceAt, func() {
		for i, r := range f.routers {
			name := r.name
			f.routers[i] = f.newRouter(name)
			f.placer.routerReplaced(name)
		}
	})
}

func (f *fleet) runAt(d time.Duration, fn func()) { f.clock.After(d, func(time.Time) { fn() }) }

// setEngineUp changes the state of an engine. Every router receives it with its
// own lag. An engine that leaves finishes what it runs; one that restarts has
// lost its cache.
func (f *fleet) setEngineUp(name string, up, restart bool) {
	e := f.engines[name]
	e.up = up
	if restart {
		e.clearCache(f.clock.Now().Sub(f.startTime))
	}
	for i := range f.routers {
		f.clock.After(f.viewLag(), func(time.Time) { f.routers[i].engines[name] = e.up })
	}
}

// replaceRouter replaces a router by an empty one. The others treat it as live
// until the change has propagated to them.
func (f *fleet) replaceRouter(i int) {
	name := f.routers[i].name
	f.routers[i] = f.newRouter(name)
	f.placer.routerReplaced(name)
	for j := range f.routers {
		if j == i {
			continue
		}
		f.clock.After(f.viewLag(), func(time.Time) { f.routers[j].routers[name] = false })
		f.clock.After(30*time.Second+f.viewLag(), func(time.Time) { f.routers[j].routers[name] = true })
	}
}

func (f *fleet) viewLag() time.Duration {
	return viewLagMin + time.Duration(f.random.Int64N(int64(viewLagMax-viewLagMin)))
}
