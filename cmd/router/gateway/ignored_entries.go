package gateway

import "sync"

const (
	// maxIgnoredEntries bounds the entries of which a router remembers that it ignored them.
	maxIgnoredEntries = 1024
	// maxLoggedError bounds a reason in the log, in bytes: it may quote the entry.
	maxLoggedError = 200
)

// ignoredEntries has the registry entries that were left out, so that the log has each once
// although it changes with every heartbeat. It is safe for concurrent use.
type ignoredEntries struct {
	mu   sync.Mutex
	byID map[string]bool
}

// add returns whether the entry was not ignored before. Beyond maxIgnoredEntries all are known.
func (l *ignoredEntries) add(id string) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID[id] || len(l.byID) >= maxIgnoredEntries {
		return false
	}
	if l.byID == nil {
		l.byID = map[string]bool{}
	}
	l.byID[id] = true
	return true
}

// remove forgets an entry that was removed or is valid.
func (l *ignoredEntries) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, id)
}

// ignoreEntry logs that an entry of the registry is left out, the first time.
func (g *Gateway) ignoreEntry(id string, cause error) {
	if !g.ignoredEntries.add(id) {
		return
	}
	reason := cause.Error()
	g.log.Warn("ignored an invalid registry entry", "id", id, "error", reason[:min(len(reason), maxLoggedError)])
}
