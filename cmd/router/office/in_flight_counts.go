package office

import "sync"

// inFlightCounts counts the requests in flight of each workspace and of peers.
type inFlightCounts struct {
	mu         sync.Mutex
	workspaces map[string]int
	callers    int
	relayed    int
}

// begin counts a caller's request and returns true, or returns false if a limit is
// reached.
func (c *inFlightCounts) begin(workspace string, limit, total int) bool {
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

func (c *inFlightCounts) end(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers--
	c.workspaces[workspace]--
	if c.workspaces[workspace] == 0 {
		delete(c.workspaces, workspace)
	}
}

func (c *inFlightCounts) addRelayed(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayed += delta
}

func (c *inFlightCounts) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callers + c.relayed
}

// CountRelay adds delta to the number of relayed requests in flight.
func (r *Router) CountRelay(delta int) { r.inFlight.addRelayed(delta) }
