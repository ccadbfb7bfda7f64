package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalug.example/cmd/load/caller"
)

const responseTimeout = 2 * time.Minute

// Run generates the load and returns the report after all responses.
func Run(ctx context.Context, p Plan) *Report {
	r := newReport(p)
	s := &sender{plan: p, report: r, caller: caller.New(), random: rand.New(rand.NewPCG(p.Seed, p.Seed+1))}
	s.run(ctx)
	r.finish()
	return r
}

// sender generates the load of one plan.
type sender struct {
	plan     Plan
	report   *Report
	caller   *caller.Caller
	random   *rand.Rand
	lastChat int
	wg       sync.WaitGroup

	mu   sync.Mutex
	idle []chat
}

// chat is a chat whose last turn is complete and which may be continued.
type chat struct {
	workspace Workspace
	id        string
	turns     int
	idleSince time.Time
}

func (s *sender) run(ctx context.Context) {
	start := time.Now()
	next := start
	for {
		at := next.Sub(start)
		if at >= s.plan.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		ws, total := s.pickWorkspace(at)
		s.send(ctx, ws)
		gap := s.random.ExpFloat64() / (s.plan.Rate * total)
		next = next.Add(time.Duration(gap * float64(time.Second)))
	}
	s.wg.Wait()
}

// pickWorkspace returns the workspace of the next arrival, and the current total
// rate as a multiple of the planned one.
func (s *sender) pickWorkspace(at time.Duration) (Workspace, float64) {
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
	c, returning := s.takeIdle(ws)
	if !returning {
		s.lastChat++
		c = chat{workspace: ws, id: fmt.Sprintf("%s-%d-%d", ws.Name, s.plan.Seed, s.lastChat)}
	}
	router := s.plan.Routers[s.random.IntN(len(s.plan.Routers))]
	s.wg.Go(func() { s.sendTurn(ctx, c, router) })
}

// takeIdle removes and returns a chat of the workspace that has been idle for at
// least the think time. It returns false for arrivals that start a new chat.
func (s *sender) takeIdle(ws Workspace) (chat, bool) {
	if s.random.Float64() >= s.plan.ReturningShare {
		return chat{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.idle {
		if c.workspace.Name == ws.Name && time.Since(c.idleSince) >= s.plan.ThinkTime {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return c, true
		}
	}
	return chat{}, false
}

func (s *sender) sendTurn(ctx context.Context, c chat, router string) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	result := s.caller.Chat(ctx, caller.Turn{
		Router: router, Key: c.workspace.Key, Class: c.workspace.Class, Model: s.plan.Model,
		Chat: c.id, Number: c.turns, PromptTokens: s.plan.PromptTokens, ResponseTokens: s.plan.ResponseTokens,
	})
	s.report.add(c.workspace, c.turns > 0, result)
	if !result.Complete {
		return
	}
	c.turns++
	c.idleSince = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, c)
}
