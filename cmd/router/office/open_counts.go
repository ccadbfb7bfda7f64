package office

import "sync"

// openCounts counts the open requests of each workspace and of peers.
type openCounts struct {
	mu         sync.Mutex
	workspaces map[string]int
	callers    int
	relayed    int
}

// enter counts a caller's request unless a limit is reached.
func (c *openCounts) enter(workspace string, limit, total int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workspaces == nil {
		c.workspaces = map[string]int{}
	}
	if c.workspaces[workspace] >= limit || c.callers >= total {
		return false
	}
	c.workspaces[workspace]++
	c.callers++
	return true
}

func (c *openCounts) exit(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers--
	c.workspaces[workspace]--
	if c.workspaces[workspace] == 0 {
		delete(c.workspaces, workspace)
	}
}

func (c *openCounts) relay(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed += delta
}

func (c *openCounts) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callers + c.relayed
}

// CountRelay counts the relayed requests that are open here.
func (o *Router) CountRelay(delta int) { o.open.relay(delta) }
