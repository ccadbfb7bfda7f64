package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalug.example/cmd/load/caller"
)

const answerTimeout = 2 * time.Minute

// Run sends the load and returns the report when every answer is in.
func Run(ctx context.Context, p Plan) *Report {
	r := newReport(p)
	s := &sender{plan: p, report: r, caller: caller.New(), random: rand.New(rand.NewPCG(p.Seed, p.Seed+1))}
	s.run(ctx)
	r.finish()
	return r
}

// sender sends the arrivals of one plan.
type sender struct {
	plan   Plan
	report *Report
	caller *caller.Caller
	random *rand.Rand
	serial int
	wg     sync.WaitGroup

	mu   sync.Mutex
	idle []member
}

// member is a chat that has been answered and may return.
type member struct {
	workspace Workspace
	chat      string
	turns     int
	since     time.Time
}

func (s *sender) run(ctx context.Context) {
	begun := time.Now()
	next := begun
	for {
		at := next.Sub(begun)
		if at >= s.plan.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		ws, total := s.pick(at)
		s.send(ctx, ws)
		gap := s.random.ExpFloat64() / (s.plan.Rate * total)
		next = next.Add(time.Duration(gap * float64(time.Second)))
	}
	s.wg.Wait()
}

// pick returns the workspace of the next arrival, and the present rate as a
// multiple of the planned one.
func (s *sender) pick(at time.Duration) (Workspace, float64) {
	base, total := 0.0, 0.0
	for _, w := range s.plan.Workspaces {
		base += w.Weight
		total += w.Weight * s.plan.Surge.factor(w.Name, at)
	}
	x := s.random.Float64() * total
	for _, w := range s.plan.Workspaces {
		x -= w.Weight * s.plan.Surge.factor(w.Name, at)
		if x < 0 {
			return w, total / base
		}
	}
	return s.plan.Workspaces[0], total / base
}

func (s *sender) send(ctx context.Context, ws Workspace) {
	m, back := s.returning(ws)
	if !back {
		s.serial++
		m = member{workspace: ws, chat: fmt.Sprintf("%s-%d-%d", ws.Name, s.plan.Seed, s.serial)}
	}
	router := s.plan.Routers[s.random.IntN(len(s.plan.Routers))]
	s.wg.Go(func() { s.turn(ctx, m, router) })
}

// returning takes a chat of the workspace that has paused for long enough.
func (s *sender) returning(ws Workspace) (member, bool) {
	if s.random.Float64() >= s.plan.ReturningShare {
		return member{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, m := range s.idle {
		if m.workspace.Name == ws.Name && time.Since(m.since) >= s.plan.ThinkTime {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return m, true
		}
	}
	return member{}, false
}

func (s *sender) turn(ctx context.Context, m member, router string) {
	ctx, done := context.WithTimeout(ctx, answerTimeout)
	defer done()
	result := s.caller.Chat(ctx, caller.Turn{
		Router: router, Key: m.workspace.Key, Class: m.workspace.Class, Model: s.plan.Model,
		Chat: m.chat, Number: m.turns, PromptTokens: s.plan.PromptTokens, ResponseTokens: s.plan.ResponseTokens,
	})
	s.report.add(m.workspace, m.turns > 0, result)
	if !result.Complete {
		return
	}
	m.turns++
	m.since = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, m)
}
