package enginetest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

const (
	// Length is the time for which a pattern is played.
	Duration = 30 * time.Second
	// shareInterval is the time until a router's peers know what it did.
	shareInterval = 200 * time.Millisecond
	// shedReturn is when a caller comes back to an engine whose queue was full.
	shedReturn = 400 * time.Millisecond
	// heeded is the part of the time left for which callers stay away, as a
	// divisor.
	heeded = 3
	// returns is how often a caller comes back.
	returns = 1
	model   = "m"
	service = "s"
)

// router is one router with all that it decides from.
type router struct {
	name   string
	board  *fitting.LoadTable
	memory *fitting.CacheIndex
	pace   *fitting.ServiceTimes
	crowd  *fitting.OverloadTracker
	way    Policy
}

type replay struct {
	agenda
	site    Deployment
	pattern Pattern
	engines []*engine
	routers []*router
	random  *rand.Rand
	start   time.Time
	out     Result
}

// Play plays a pattern at a site with a way to choose, which is made anew for
// each router.
func Simulate(site Deployment, p Pattern, seed uint64, way func() Policy) Result {
	r := &replay{
		site: site, pattern: p, random: rand.New(rand.NewPCG(seed, 1)),
		start: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		out:   Result{InTimeByRank: map[int]int{}, RequestsByRank: map[int]int{}},
	}
	for range site.Engines {
		r.join()
	}
	for i := range site.Routers {
		r.routers = append(r.routers, &router{
			name: "r" + strconv.Itoa(i), board: fitting.NewLoadTable(), memory: fitting.NewCacheIndex(),
			pace: fitting.NewServiceTimes(), crowd: fitting.NewOverloadTracker(), way: way(),
		})
		r.after(time.Duration(i)*shareInterval/time.Duration(site.Routers), func() { r.share(i) })
	}
	r.plan()
	for _, c := range site.Classes {
		r.after(r.pause(c), func() { r.arrive(c) })
	}
	r.run(Duration + site.longest())
	return r.out
}

// longest is how long a caller waits at most.
func (s Deployment) longest() time.Duration {
	var out time.Duration
	for _, c := range s.Classes {
		out = max(out, c.Timeout)
	}
	return out
}

// plan plans what the pattern does to engines and routers.
func (r *replay) plan() {
	for i := range r.pattern.JoiningEngines {
		r.after(Duration/3+time.Duration(i)*time.Second, r.join)
	}
	r.after(Duration/2, func() {
		for i := range r.pattern.LostEngines {
			r.engines[i].gone = true
		}
		for _, router := range r.routers {
			if r.pattern.ResetCacheIndexes {
				router.memory = fitting.NewCacheIndex()
			}
		}
	})
	for i := range r.pattern.SlowEngines {
		r.after(Duration/3, func() { r.engines[i].slow = true })
		r.after(2*Duration/3, func() { r.engines[i].slow = false })
	}
}

func (r *replay) join() {
	id := "e" + strconv.Itoa(len(r.engines))
	t := crew.NewTarget(id, service, "10.0.0.1:1", crew.WithSlots(r.site.Slots))
	r.engines = append(r.engines, &engine{target: t, key: fitting.KeyOf(t.Incarnation()), cached: map[uint64]bool{}})
}

func (r *replay) time() time.Time { return r.start.Add(r.now) }

// share tells a router's peers its own work.
func (r *replay) share(i int) {
	own := r.routers[i].board.Own()
	for j, peer := range r.routers {
		if i != j {
			peer.board.SetPeer(r.routers[i].name, own, r.time())
		}
	}
	r.after(shareInterval, func() { r.share(i) })
}

// pause is the time until the next request of a class.
func (r *replay) pause(c Class) time.Duration {
	rate := c.Rate
	if r.pattern.LoadFactor > 0 {
		rate *= r.pattern.LoadFactor
	}
	if r.pattern.SurgeFactor > 0 && r.now > Duration/3 && r.now < 2*Duration/3 {
		rate *= r.pattern.SurgeFactor
	}
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive lets one request come and plans the next.
func (r *replay) arrive(c Class) {
	if r.now > Duration {
		return
	}
	r.after(r.pause(c), func() { r.arrive(c) })
	prompt := 1 + r.random.IntN(c.SharedPrompts)
	if r.random.Float64() < r.pattern.HotPromptShare {
		prompt = 1
	}
	r.out.Requests++
	rank := r.random.IntN(r.site.Ranks)
	r.out.RequestsByRank[rank]++
	r.attempt(&request{class: c, rank: rank, prompt: uint64(c.SharedTokens)<<16 | uint64(prompt), start: r.now})
}
