package gateway

import (
	"sync/atomic"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
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
	// evacuated are the targets that would be usable if their failure domains were not evacuated.
	evacuated map[fitting.Key]crew.Target
}

func newUpstreamSet() *upstreamSet {
	return &upstreamSet{
		byService:     map[string][]*upstream{},
		byIncarnation: map[string]*upstream{},
		evacuated:     map[fitting.Key]crew.Target{},
	}
}
