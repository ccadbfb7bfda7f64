package enginetest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

// SpeedPolicy chooses engines by what it learns of their speed.
type SpeedPolicy interface {
	Choose(q fitting.Request, all []fitting.Candidate, now time.Time) fitting.Decision
	// Observe receives what the policy's router observes.
	Observe(key capacity.TargetKey, o capacity.Observation, now time.Time)
	// Own returns what the router tells its peers, and RecordFromPeer receives that of one.
	Own(lately time.Duration, now time.Time) []capacity.Report
	RecordFromPeer(reports []capacity.Report, now time.Time)
}

// SpeedResult counts what callers got.
type SpeedResult struct {
	Requests, Refused int
	// InTime requests had their first event within the objective. Smooth ones had no pause of
	// SmoothPause or more, and Good ones were both.
	InTime, Smooth, Good int
	// Sends counts the requests by engine, and OverLimit those to an engine with more than twice
	// the mean load plus three.
	Sends     []int
	OverLimit int
	// Worst is the lowest share of good requests of a second with enough of them.
	Worst float64
	// Reports is the mean number of reports in a datagram.
	Reports            float64
	bySecond           map[int][2]int
	datagrams, reports int
}

// SmoothPause is the pause from which a stream counts as interrupted.
const SmoothPause = 400 * time.Millisecond

// GoodShare returns the share of good requests.
func (r SpeedResult) GoodShare() float64 { return ratio(r.Good, r.Requests) }

// InTimeShare returns the share of requests whose first event was in time.
func (r SpeedResult) InTimeShare() float64 { return ratio(r.InTime, r.Requests) }

// SmoothShare returns the share of requests without long pauses.
func (r SpeedResult) SmoothShare() float64 { return ratio(r.Smooth, r.Requests) }

type speedRouter struct {
	name         string
	loads        *fitting.LoadTable
	cacheIndex   *fitting.CacheIndex
	serviceTimes *fitting.ServiceTimes
	policy       SpeedPolicy
}

type speedSimulation struct {
	eventQueue
	deployment Deployment
	pattern    SpeedPattern
	engines    []*speedEngine
	keys       []fitting.Key
	routers    []*speedRouter
	random     *rand.Rand
	start      time.Time
	result     SpeedResult
	// onEvery is called every half second, or nil.
	onEvery func(at time.Duration, first SpeedPolicy, engines []SpeedState)
}

// SpeedState is the true state of a simulated engine.
type SpeedState struct {
	Key      capacity.TargetKey
	Slowness float64
	Load     int
}

const (
	// speedDuration is the simulated time for which requests arrive; those of speedWarmUp
	// don't count.
	speedDuration = 24 * time.Second
	speedWarmUp   = 4 * time.Second
	speedTail     = 20 * time.Second
	observeEvery  = 500 * time.Millisecond
	// minSecond is the number of requests in a second that counts as the worst.
	minSecond = 20
)

// SpeedDeployment is a tenth of a deployment with 131 routers and 60 engines.
func SpeedDeployment(routers, engines int) Deployment {
	perEngine := 1 / 9.
	groups := (routers + peersPerInterval - 1) / peersPerInterval
	d := Deployment{Routers: routers, Engines: engines, ShareGroups: groups, Slots: 24, CopyRate: speedCopyRate, Ranks: 1}
	for _, c := range SmallDeployment().Classes {
		c.Rate *= perEngine * float64(engines)
		d.Classes = append(d.Classes, c)
	}
	d.Classes[0].FirstTokenGoal = time.Second
	d.Classes[1].FirstTokenGoal = 600 * time.Millisecond
	d.Classes[2].FirstTokenGoal = 300 * time.Millisecond
	return d
}

// peersPerInterval is the number of peers that get a datagram in one interval.
const peersPerInterval = 24

// SimulateSpeeds runs a pattern of speeds on a deployment with a policy for each router. onEvery is
// called every half second, unless it is nil.
func SimulateSpeeds(
	d Deployment, p SpeedPattern, seed uint64, policy func(keys []capacity.TargetKey) SpeedPolicy,
	onEvery func(at time.Duration, first SpeedPolicy, engines []SpeedState),
) SpeedResult {
	s := &speedSimulation{
		deployment: d, pattern: p, random: rand.New(rand.NewPCG(seed, 1)), onEvery: onEvery,
		start: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), result: SpeedResult{Sends: make([]int, d.Engines), bySecond: map[int][2]int{}},
	}
	var keys []capacity.TargetKey
	for i := range d.Engines {
		id := "e" + strconv.Itoa(i)
		t := crew.NewTarget(id, service, "10.0.0.1:1", crew.WithSlots(d.Slots))
		e := &speedEngine{
			machine: machine{pattern: p, seed: seed, index: i},
			target:  t, key: fitting.KeyOf(t.Incarnation()), cached: map[uint64]bool{},
		}
		s.engines = append(s.engines, e)
		s.keys = append(s.keys, e.key)
		keys = append(keys, capacity.TargetKey(e.key))
	}
	for i := range d.Routers {
		s.routers = append(s.routers, &speedRouter{
			name: "r" + strconv.Itoa(i), loads: fitting.NewLoadTable(), cacheIndex: fitting.NewCacheIndex(),
			serviceTimes: fitting.NewServiceTimes(), policy: policy(keys),
		})
		s.after(time.Duration(i)*shareInterval/time.Duration(d.Routers), func() { s.share(i, i) })
	}
	for _, c := range d.Classes {
		s.after(s.interarrivalTime(c), func() { s.arrive(c) })
	}
	if onEvery != nil {
		s.after(observeEvery, s.watch)
	}
	s.run(speedDuration + speedTail)
	return s.total()
}

func (s *speedSimulation) watch() {
	states := make([]SpeedState, len(s.engines))
	for i, e := range s.engines {
		states[i] = SpeedState{Key: capacity.TargetKey(e.key), Slowness: e.machine.slowness(s.now), Load: e.load()}
	}
	s.onEvery(s.now, s.routers[0].policy, states)
	if s.now < speedDuration {
		s.after(observeEvery, s.watch)
	}
}

func (s *speedSimulation) clockTime() time.Time { return s.start.Add(s.now) }

// share sends a router's loads and observations to the peers whose turn it is.
func (s *speedSimulation) share(i, turn int) {
	groups := max(s.deployment.ShareGroups, 1)
	r := s.routers[i]
	own := r.loads.Own()
	reports := r.policy.Own(time.Duration(groups)*shareInterval, s.clockTime())
	s.result.datagrams++
	s.result.reports += len(reports)
	for j, peer := range s.routers {
		if i != j && j%groups == turn%groups {
			peer.loads.SetPeer(r.name, own, s.clockTime())
			peer.policy.RecordFromPeer(reports, s.clockTime())
		}
	}
	if s.now < speedDuration+speedTail/2 {
		s.after(shareInterval, func() { s.share(i, turn+1) })
	}
}

func (s *speedSimulation) interarrivalTime(c Class) time.Duration {
	rate := c.Rate
	if s.pattern.LoadFactor > 0 {
		rate *= s.pattern.LoadFactor
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func (s *speedSimulation) arrive(c Class) {
	if s.now > speedDuration {
		return
	}
	s.after(s.interarrivalTime(c), func() { s.arrive(c) })
	prompt := uint64(c.SharedTokens)<<16 | uint64(1+s.random.IntN(c.SharedPrompts*len(s.engines)/9))
	router := s.routers[s.random.IntN(len(s.routers))]
	work := fitting.NewWork(model, []fitting.Part{
		fitting.NewPart(prompt, c.SharedTokens), fitting.NewPart(s.random.Uint64(), c.OwnTokens),
	}, c.SharedTokens+c.OwnTokens, c.OutputTokens)
	q := fitting.Request{
		Work: work, Slots: s.deployment.Slots, CopyRate: s.deployment.CopyRate, ServiceTime: router.serviceTimes.Mean(service),
		TimeLeft: c.Timeout, Objective: c.FirstTokenGoal, Random: s.random.Uint64(),
	}
	now := s.clockTime()
	key, _ := work.PromptKey()
	cached := router.cacheIndex.Cached(key, s.keys, now)
	loads := router.loads.Loads(s.keys, now.Add(-s.deployment.loadTTL()))
	all := make([]fitting.Candidate, len(s.engines))
	for i, e := range s.engines {
		all[i] = fitting.Candidate{Target: e.target, Load: loads[i], Cached: cached[i]}
	}
	slow := s.random.Float64() < s.pattern.SlowCallers
	chosen, ok := router.policy.Choose(q, all, now).(fitting.Chosen)
	if !ok {
		s.count(s.now, false, false, true)
		return
	}
	s.send(router, c, prompt, key, chosen, all[chosen.Index], slow)
}

// send sends a request to the chosen engine.
func (s *speedSimulation) send(r *speedRouter, c Class, prompt, key uint64, chosen fitting.Chosen, seen fitting.Candidate, slow bool) {
	e := s.engines[chosen.Index]
	s.countSend(chosen.Index)
	j := &speedJob{class: c, router: r, engine: e, before: seen.Load, start: s.now, slow: slow, unread: c.OwnTokens, tokens: c.OwnTokens}
	if !seen.Cached {
		j.tokens += c.SharedTokens
	}
	j.tokens += seen.Load.PrefillTokens()
	switch {
	case e.cached[prompt]:
	case chosen.Source != fitting.NoSource && s.engines[chosen.Source].cached[prompt]:
		j.copied = true
		j.unread += speedCopySetup + c.SharedTokens*speedPrefillRate/speedCopyRate
	default:
		j.unread += c.SharedTokens
	}
	e.cached[prompt] = true
	r.loads.Add(e.key, 1, c.SharedTokens+c.OwnTokens)
	placement := fitting.Placement{Prompt: key, Target: e.key}
	if r.cacheIndex.Record(placement, s.clockTime()) {
		s.after(shareInterval, func() {
			for _, peer := range s.routers {
				peer.cacheIndex.RecordFromPeer(placement, s.clockTime())
			}
		})
	}
	if len(e.running) < s.deployment.Slots {
		e.running = append(e.running, j)
		s.step(e)
		return
	}
	e.queue = append(e.queue, j)
}

func (s *speedSimulation) countSend(i int) {
	total := 0
	for _, e := range s.engines {
		total += e.load()
	}
	if float64(s.engines[i].load()) > 2*float64(total)/float64(len(s.engines))+3 {
		s.result.OverLimit++
	}
	if s.now >= speedWarmUp {
		s.result.Sends[i]++
	}
}

// record counts what the caller of a request got.
func (s *speedSimulation) record(j *speedJob) {
	s.count(j.start, j.firstAt-j.start <= j.class.FirstTokenGoal, j.longestPause < SmoothPause, false)
}

func (s *speedSimulation) count(start time.Duration, inTime, smooth, refused bool) {
	if start < speedWarmUp {
		return
	}
	s.result.Requests++
	second := s.result.bySecond[int(start/time.Second)]
	second[1]++
	if refused {
		s.result.Refused++
	}
	if inTime {
		s.result.InTime++
	}
	if smooth {
		s.result.Smooth++
	}
	if inTime && smooth {
		s.result.Good++
		second[0]++
	}
	s.result.bySecond[int(start/time.Second)] = second
}

func (s *speedSimulation) total() SpeedResult {
	s.result.Worst = 1
	for _, n := range s.result.bySecond {
		if n[1] >= minSecond {
			s.result.Worst = min(s.result.Worst, ratio(n[0], n[1]))
		}
	}
	s.result.Reports = ratio(s.result.reports, s.result.datagrams)
	return s.result
}
