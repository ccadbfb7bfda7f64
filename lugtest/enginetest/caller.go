package enginetest

import (
	"time"

	"vanillalug.example/fitting"
)

// request is one request of a caller with its tries so far.
type request struct {
	class  Class
	rank   int
	prompt uint64
	start  time.Duration
	tries  int
}

func (q *request) left(now time.Duration) time.Duration { return q.class.Timeout - (now - q.start) }

// attempt is one try of a caller, at some router.
func (r *replay) attempt(a *request) {
	c := a.class
	router := r.routers[r.random.IntN(len(r.routers))]
	work := fitting.NewWork(model, []fitting.Part{
		fitting.NewPart(a.prompt, c.SharedTokens), fitting.NewPart(r.random.Uint64(), c.OwnTokens),
	}, c.SharedTokens+c.OwnTokens, c.OutputTokens)
	q := fitting.Request{
		Work: work, Slots: r.site.Slots, CopyRate: r.site.CopyRate, ServiceTime: router.pace.Mean(service),
		TimeLeft: a.left(r.now), Objective: c.FirstTokenGoal, OverloadedFor: router.crowd.Duration(service, r.time()),
		Priority: a.rank, Random: r.random.Uint64(),
	}
	live, candidates := r.candidates(router, work)
	back := shedReturn
	switch v := router.way.Choose(q, candidates).(type) {
	case fitting.Chosen:
		j := &job{
			class: c, rank: a.rank, router: router, prompt: a.prompt, unread: c.SharedTokens + c.OwnTokens,
			start: a.start, sent: r.now,
		}
		if v.Source != fitting.NoSource {
			j.source = live[v.Source]
		}
		if r.send(live[v.Index], j, work) {
			return
		}
	case fitting.Overloaded:
		router.crowd.Rejected(service, r.time())
		back = v.RetryAfter
	}
	left := a.left(r.now)
	if a.tries >= returns || left <= 0 {
		r.out.Rejected++
		return
	}
	a.tries++
	r.after(min(back, left/heeded), func() { r.attempt(a) })
}

// candidates are the engines that live, with what the router knows of them.
func (r *replay) candidates(router *router, work fitting.Work) (live []*engine, out []fitting.Candidate) {
	var keys []fitting.Key
	for _, e := range r.engines {
		if !e.gone {
			live = append(live, e)
			keys = append(keys, e.key)
		}
	}
	prompt, _ := work.PromptKey()
	held := router.memory.Cached(prompt, keys, r.time())
	loads := router.board.Loads(keys, r.time().Add(-3*shareInterval))
	for i, e := range live {
		out = append(out, fitting.Candidate{Target: e.target, Load: loads[i], Cached: held[i]})
	}
	return live, out
}

// send gives a job to an engine; it returns false where the engine sheds it.
func (r *replay) send(e *engine, j *job, work fitting.Work) bool {
	r.out.Sends++
	r.countOver(e)
	if !r.take(e, j) {
		return false
	}
	j.router.board.Add(e.key, 1, j.unread)
	key, _ := work.PromptKey()
	placement := fitting.Placement{Prompt: key, Target: e.key}
	if j.router.memory.Record(placement, r.time()) {
		r.after(shareInterval, func() {
			for _, peer := range r.routers {
				peer.memory.RecordFromPeer(placement, r.time())
			}
		})
	}
	r.after(j.class.FirstTokenTimeout, func() {
		if !j.first {
			r.expire(e, j)
		}
	})
	r.after(j.class.Timeout-(r.now-j.start), func() { r.expire(e, j) })
	return true
}

func (r *replay) countOver(e *engine) {
	total, n := 0, 0
	for _, o := range r.engines {
		if !o.gone {
			total += o.load()
			n++
		}
	}
	if float64(e.load()) > 2*float64(total)/float64(n)+3 {
		r.out.OverLimit++
	}
}

// firstToken counts the time to the first token.
func (r *replay) firstToken(e *engine, j *job) {
	if j.done || j.first {
		return
	}
	j.first = true
	j.router.board.Add(e.key, 0, -j.unread)
	j.late = r.now-j.start > j.class.FirstTokenGoal
	if j.late {
		r.out.Late++
		return
	}
	r.out.InTime++
	r.out.InTimeByRank[j.rank]++
}

// finish ends a job that was served.
func (r *replay) finish(e *engine, j *job) {
	if j.done {
		return
	}
	j.done = true
	j.router.board.Add(e.key, -1, 0)
	j.router.pace.Observe(service, r.now-j.sent)
	j.router.way.Observe(r.now - j.sent)
	r.free(e, j)
}

// expire ends a job whose caller has left.
func (r *replay) expire(e *engine, j *job) {
	if j.done {
		return
	}
	j.done = true
	r.out.Expired++
	if j.first {
		r.uncount(j)
	} else {
		j.router.board.Add(e.key, 0, -j.unread)
	}
	j.router.board.Add(e.key, -1, 0)
	r.free(e, j)
}

// uncount takes back what was counted at the first token of a request that was
// not served to its end.
func (r *replay) uncount(j *job) {
	if j.late {
		r.out.Late--
		return
	}
	r.out.InTime--
	r.out.InTimeByRank[j.rank]--
}
