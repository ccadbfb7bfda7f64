package gateway

import (
	"sync/atomic"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
)

// upstream is one incarnation of a target with its connection pool and its state.
type upstream struct {
	*targetState

	target crew.Target
	pool   *channel.Pool
	// leaving says that the target stated in a response that it is leaving.
	leaving atomic.Bool
}

func newUpstream(t crew.Target, state *targetState, dial channel.DialFunc) *upstream {
	return &upstream{targetState: state, target: t, pool: channel.NewPool(t.Address(), dial)}
}

// upstreamSet holds the upstreams of all usable targets; it is immutable.
type upstreamSet struct {
	byService     map[string][]*upstream
	byIncarnation map[string]*upstream
}
