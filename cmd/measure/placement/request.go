package placement

import (
	"fmt"
	"time"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// request is one arrival with the state of its placement.
type request struct {
	arrival
	id          string
	route       *dispatch.Route
	engine      *engine
	admitter    *engineState
	arrived     time.Time
	ended       bool
	resubmitted bool
	cached      bool
}

func (r *request) chatKey() vanillalug.ChatKey { return vanillalug.ChatKey(r.chat) }

func (r *request) class(d Deployment) string { return d.className(r.workspace) }

func (r *request) workspaceName() string { return fmt.Sprintf("w%d", r.workspace) }
