package placement

import "time"

// churn plans the joins, leaves, flaps and replacements of a run.
func (f *fleet) churn() {
	f.setUp("e09", false, true)
	f.at(8*time.Minute, func() { f.setUp("e09", true, true) })
	f.at(12*time.Minute, func() { f.setUp("e03", false, false) })
	f.at(16*time.Minute, func() { f.setUp("e03", true, true) })
	for i := range 3 {
		down := 28*time.Minute + time.Duration(i)*40*time.Second
		f.at(down, func() { f.setUp("e05", false, false) })
		f.at(down+10*time.Second, func() { f.setUp("e05", true, false) })
	}
	f.at(33*time.Minute, func() { f.setUp("e07", false, false) })
	for i := range 6 {
		f.at(time.Duration(10+4*i)*time.Minute, func() { f.replaceRouter(3 * i % f.d.routers) })
	}
}

// replaceAll plans the loss of everything that the routers know.
func (f *fleet) replaceAll() {
	f.at(ReplaceAt, func() {
		for i, r := range f.routers {
			name := r.name
			f.routers[i] = f.newRouter(name)
			f.place.routerReplaced(name)
		}
	})
}

func (f *fleet) at(d time.Duration, fn func()) { f.clock.After(d, func(time.Time) { fn() }) }

// setUp changes an engine. Every router learns of it with its own lag. An
// engine that goes finishes what it runs; one that restarts has lost its cache.
func (f *fleet) setUp(name string, up, restart bool) {
	e := f.engines[name]
	e.up = up
	if restart {
		e.clear(f.clock.Now().Sub(f.begun))
	}
	for i := range f.routers {
		f.clock.After(f.viewLag(), func(time.Time) { f.routers[i].engines[name] = e.up })
	}
}

// replaceRouter replaces a router by an empty one. Until the others know, they
// count it as there.
func (f *fleet) replaceRouter(i int) {
	name := f.routers[i].name
	f.routers[i] = f.newRouter(name)
	f.place.routerReplaced(name)
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
