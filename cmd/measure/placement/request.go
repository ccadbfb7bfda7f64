package placement

import (
	"fmt"
	"time"

	"vanillalug.example"
	"vanillalug.example/dispatch"
)

// request is one arrival on its way.
type request struct {
	arrival
	id        string
	route     *dispatch.Route
	engine    *engine
	post      *post
	arrived   time.Time
	ended     bool
	impatient bool
	cached    bool
}

func (r *request) key() vanillalug.ChatKey { return vanillalug.ChatKey(r.chat) }

func (r *request) class(d Deployment) string { return d.className(r.workspace) }

func (r *request) workspaceName() string { return fmt.Sprintf("w%d", r.workspace) }
