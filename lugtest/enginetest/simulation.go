package enginetest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/fitting"
	"vanillalug.example/share"
)

const (
	// PatternDuration is the simulated time for which requests arrive.
	PatternDuration = 30 * time.Second
	// shareInterval is how often a router sends its loads to its peers, and the
	// delay of its announcements.
	shareInterval = 200 * time.Millisecond
	// shedRetryAfter is the retry-after time of a request that an engine sheds.
	shedRetryAfter = 400 * time.Millisecond
	// maxRetryAfterDivisor bounds the retry-after time: callers honor at most
	// their remaining time divided by it.
	maxRetryAfterDivisor = 3
	model                = "m"
	service              = "s"
)

// router is a simulated router with the state behind its decisions.
type router struct {
	name         string
	loads        *fitting.LoadTable
	cacheIndex   *fitting.CacheIndex
	serviceTimes *fitting.ServiceTimes
	overload     *fitting.OverloadTracker
	usage        *share.Table
	prefillTimes *fitting.PrefillTimes
	policy       Policy
}

type simulation struct {
	eventQueue
	deployment Deployment
	pattern    Pattern
	engines    []*engine
	routers    []*router
	random     *rand.Rand
	start      time.Time
	result     Result
}

// Simulate runs a load pattern on a deployment with a new policy for each
// router.
func Simulate(d Deployment, p Pattern, seed uint64, policy func() Policy) Result {
	s := &simulation{
		deployment: d, pattern: p, random: rand.New(rand.NewPCG(seed, 1)),
		start:  time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		result: Result{InTimeByRank: map[int]int{}, RequestsByRank: map[int]int{}, Shortages: map[fitting.Shortage]int{}},
	}
	for range d.Engines {
		s.addEngine()
	}
	for i := range d.Routers {
		s.routers = append(s.routers, &router{
			name: "r" + strconv.Itoa(i), loads: fitting.NewLoadTable(), cacheIndex: fitting.NewCacheIndex(),
			serviceTimes: fitting.NewServiceTimes(), overload: fitting.NewOverloadTracker(),
			usage: share.NewTable(), prefillTimes: fitting.NewPrefillTimes(), policy: policy(),
		})
		s.after(time.Duration(i)*shareInterval/time.Duration(d.Routers), func() { s.shareLoads(i, i) })
	}
	s.scheduleFaults()
	if d.Memory.Tokens > 0 {
		s.after(memoryTick, s.preemptAll)
	}
	for _, c := range d.Classes {
		s.after(s.interarrivalTime(c), func() { s.arrive(c) })
	}
	s.run(PatternDuration + d.maxTimeout())
	return s.result
}

// maxTimeout returns the longest timeout of all classes.
func (d Deployment) maxTimeout() time.Duration {
	var out time.Duration
	for _, c := range d.Classes {
		out = max(out, c.Timeout)
	}
	return out
}

// scheduleFaults schedules what the pattern does to engines and routers.
func (s *simulation) scheduleFaults() {
	for i := range s.pattern.JoiningEngines {
		s.after(PatternDuration/3+time.Duration(i)*time.Second, s.addEngine)
	}
	s.after(PatternDuration/2, func() {
		for i := range s.pattern.LostEngines {
			s.engines[i].lost = true
		}
		for _, router := range s.routers {
			if s.pattern.ResetCacheIndexes {
				router.cacheIndex = fitting.NewCacheIndex()
			}
		}
	})
	for i := range s.pattern.SlowEngines {
		s.after(PatternDuration/3, func() { s.engines[i].slow = true })
		s.after(2*PatternDuration/3, func() { s.engines[i].slow = false })
	}
}

func (s *simulation) addEngine() {
	id := "e" + strconv.Itoa(len(s.engines))
	t := crew.NewTarget(id, service, "10.0.0.1:1", crew.WithSlots(s.deployment.Slots))
	s.engines = append(s.engines, &engine{target: t, key: fitting.KeyOf(t.Incarnation()), cached: map[uint64]bool{}, usedAt: map[uint64]time.Duration{}})
}

// clockTime returns the simulated time of day.
func (s *simulation) clockTime() time.Time { return s.start.Add(s.now) }

// shareLoads sends a router's own loads to the peers whose turn it is.
func (s *simulation) shareLoads(i, turn int) {
	groups := max(s.deployment.ShareGroups, 1)
	own := s.routers[i].loads.Own()
	usage := s.routers[i].usage.Own(s.clockTime())
	for j, peer := range s.routers {
		if i != j && j%groups == turn%groups {
			peer.loads.SetPeer(s.routers[i].name, own, s.clockTime())
			peer.usage.RecordFromPeer(s.routers[i].name, usage, s.clockTime())
		}
	}
	s.after(shareInterval, func() { s.shareLoads(i, turn+1) })
}

// interarrivalTime returns the time until the next request of a class.
func (s *simulation) interarrivalTime(c Class) time.Duration {
	rate := c.Rate
	if s.pattern.LoadFactor > 0 {
		rate *= s.pattern.LoadFactor
	}
	if s.pattern.surges(c, s.now) {
		rate *= s.pattern.SurgeFactor
	}
	rate *= s.hotWorkspaceSurplus()
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive sends one request and schedules the next.
func (s *simulation) arrive(c Class) {
	if s.now > PatternDuration {
		return
	}
	s.after(s.interarrivalTime(c), func() { s.arrive(c) })
	prompt := 1 + s.random.IntN(c.SharedPrompts)
	if s.random.Float64() < s.pattern.HotPromptShare {
		prompt = 1
	}
	s.result.Requests++
	rank := c.Rank
	if s.deployment.Ranks > 0 {
		rank = s.random.IntN(s.deployment.Ranks)
	}
	s.result.RequestsByRank[rank]++
	q := &request{class: c, rank: rank, prompt: uint64(c.SharedTokens)<<16 | uint64(prompt), start: s.now}
	s.drawWorkspace(q)
	s.drawLength(q)
	s.attempt(q)
}
