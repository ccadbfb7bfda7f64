package office

import (
	"sync"

	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

// postTable holds the posts of the engines that this router admits for.
type postTable struct {
	mu    sync.RWMutex
	posts map[string]*post
}

func (t *postTable) get(engine string) (*post, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.posts[engine]
	return p, ok
}

// getOrAdd returns the post of the engine; added says that it is new.
func (t *postTable) getOrAdd(engine string, make func() *post) (p *post, added bool) {
	if p, ok := t.get(engine); ok {
		return p, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.posts[engine]; ok {
		return p, false
	}
	if t.posts == nil {
		t.posts = map[string]*post{}
	}
	p = make()
	t.posts[engine] = p
	return p, true
}

func (t *postTable) remove(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.posts, engine)
}

func (t *postTable) all() []*post {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*post, 0, len(t.posts))
	for _, p := range t.posts {
		out = append(out, p)
	}
	return out
}

func newPost(o *Router, engine string, slots int) *post {
	health := dispatch.NewHealth(o.clock)
	health.SetLeaving(dispatch.ByPlatform, o.targets.isListedLeaving(engine))
	return &post{
		engine:  engine,
		clock:   o.clock,
		desk:    desk.New(o.clock, slots),
		keeper:  dispatch.NewCacheIndex(o.opts.rememberedChats),
		health:  health,
		waiters: map[string]chan desk.Effect{},
		ready:   make(chan struct{}),
	}
}
