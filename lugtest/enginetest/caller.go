package enginetest

import (
	"time"

	"vanillalug.example/fitting"
)

// request is a caller's request with the number of its retries so far.
type request struct {
	class   Class
	rank    int
	prompt  uint64
	start   time.Duration
	retries int
	// workspace is its number, output the length of the response and hint the caller's estimate
	// of it, or 0.
	workspace, output, hint int
}

func (q *request) timeLeft(now time.Duration) time.Duration { return q.class.Timeout - (now - q.start) }

// attempt sends a request to a random router, and schedules a retry if it is
// rejected.
func (s *simulation) attempt(q *request) {
	c := q.class
	router := s.routers[s.random.IntN(len(s.routers))]
	work := fitting.NewWork(model, []fitting.Part{
		fitting.NewPart(q.prompt, c.SharedTokens), fitting.NewPart(s.random.Uint64(), c.OwnTokens),
	}, c.SharedTokens+c.OwnTokens, s.maxOutput(q)).WithLengthHint(q.hint)
	req := fitting.Request{
		Work: work, Slots: s.deployment.Slots, CopyRate: s.deployment.CopyRate, ServiceTime: router.serviceTimes.Mean(service),
		TimeLeft: q.timeLeft(s.now), Objective: c.FirstTokenGoal, OverloadedFor: router.overload.Duration(service, s.clockTime()),
		Priority: q.rank, Random: s.random.Uint64(), PrefillTime: router.prefillTimes.PerThousand(service),
		Overuse: router.usage.Overuse(workspaceKey(q.workspace), usageKey, s.clockTime()),
	}
	if !s.deployment.Memory.UnknownLoads {
		req.KVCapacity = s.deployment.Memory.Tokens
	}
	engines, candidates := s.candidates(router, work)
	retryAfter := shedRetryAfter
	switch v := router.policy.Choose(req, candidates).(type) {
	case fitting.Chosen:
		j := &job{
			class: c, rank: q.rank, router: router, prompt: q.prompt, prefillTokens: c.SharedTokens + c.OwnTokens,
			start: q.start, sent: s.now, request: q, output: q.output, remaining: q.output,
			ahead: candidates[v.Index].Load,
			load:  fitting.NewLoad(1, 0).WithKVTokens(work.KVTokens(candidates[v.Index].Cached)),
		}
		if v.Source != fitting.NoSource {
			j.source = engines[v.Source]
		}
		if s.send(engines[v.Index], j, work) {
			router.usage.Record(workspaceKey(q.workspace), usageKey, req.Cost(), s.clockTime())
			return
		}
	case fitting.Overloaded:
		router.overload.Rejected(service, s.clockTime())
		s.result.Shortages[v.Shortage]++
		retryAfter = v.RetryAfter
	}
	left := q.timeLeft(s.now)
	if q.retries >= max(s.deployment.Retries, 1) || left <= 0 {
		s.result.Rejected++
		s.recordOutcome(q, Rejected)
		return
	}
	q.retries++
	s.after(min(retryAfter, left/maxRetryAfterDivisor), func() { s.attempt(q) })
}

// candidates returns the running engines, and their state as seen by the router.
func (s *simulation) candidates(router *router, work fitting.Work) (engines []*engine, out []fitting.Candidate) {
	var keys []fitting.Key
	for _, e := range s.engines {
		if !e.lost {
			engines = append(engines, e)
			keys = append(keys, e.key)
		}
	}
	prompt, _ := work.PromptKey()
	cached := router.cacheIndex.Cached(prompt, keys, s.clockTime())
	loads := router.loads.Loads(keys, s.clockTime().Add(-s.deployment.loadTTL()))
	for i, e := range engines {
		out = append(out, fitting.Candidate{Target: e.target, Load: loads[i], Cached: cached[i]})
	}
	return engines, out
}

// send sends a job to an engine. It returns false if the engine sheds it.
func (s *simulation) send(e *engine, j *job, work fitting.Work) bool {
	s.result.Sends++
	s.countOverLimit(e)
	if !s.enqueue(e, j) {
		return false
	}
	j.router.loads.AddLoad(e.key, j.load)
	j.router.loads.Add(e.key, 0, j.prefillTokens)
	key, _ := work.PromptKey()
	placement := fitting.Placement{Prompt: key, Target: e.key}
	if j.router.cacheIndex.Record(placement, s.clockTime()) {
		s.after(shareInterval, func() {
			for _, peer := range s.routers {
				peer.cacheIndex.RecordFromPeer(placement, s.clockTime())
			}
		})
	}
	s.after(j.class.FirstTokenTimeout, func() {
		if !j.hasFirstToken {
			s.expire(e, j)
		}
	})
	s.after(j.class.Timeout-(s.now-j.start), func() { s.expire(e, j) })
	return true
}

// countOverLimit counts an attempt at an engine with more than twice the mean
// load plus three.
func (s *simulation) countOverLimit(e *engine) {
	total, n := 0, 0
	for _, o := range s.engines {
		if !o.lost {
			total += o.load()
			n++
		}
	}
	if float64(e.load()) > 2*float64(total)/float64(n)+3 {
		s.result.OverLimit++
	}
}

// handleFirstToken records whether the first token is in time.
func (s *simulation) handleFirstToken(e *engine, j *job) {
	if j.done || j.hasFirstToken {
		return
	}
	j.hasFirstToken = true
	if j.ahead.Requests() < s.deployment.Slots {
		j.router.prefillTimes.Observe(service, j.ahead.PrefillTokens()+j.prefillTokens, s.now-j.sent)
	}
	j.router.loads.Add(e.key, 0, -j.prefillTokens)
	j.late = s.now-j.start > j.class.FirstTokenGoal
	if j.late {
		s.result.Late++
		return
	}
	s.result.InTime++
	s.result.InTimeByRank[j.rank]++
}

// finish completes a job that was served.
func (s *simulation) finish(e *engine, j *job) {
	if j.done {
		return
	}
	j.done = true
	j.router.loads.AddLoad(e.key, j.load.Negative())
	outcome := InTime
	if j.late {
		outcome = Late
	}
	s.recordOutcome(j.request, outcome)
	j.router.serviceTimes.Observe(service, s.now-j.sent)
	j.router.policy.Observe(s.now - j.sent)
	s.release(e, j)
}

// expire ends a job whose caller has disconnected.
func (s *simulation) expire(e *engine, j *job) {
	if j.done {
		return
	}
	j.done = true
	s.result.Expired++
	s.recordOutcome(j.request, Expired)
	if j.hasFirstToken {
		s.undoFirstToken(j)
	} else {
		j.router.loads.Add(e.key, 0, -j.prefillTokens)
	}
	j.router.loads.AddLoad(e.key, j.load.Negative())
	s.release(e, j)
}

// undoFirstToken reverts the counts of handleFirstToken for a request that
// expired later.
func (s *simulation) undoFirstToken(j *job) {
	if j.late {
		s.result.Late--
		return
	}
	s.result.InTime--
	s.result.InTimeByRank[j.rank]--
}
