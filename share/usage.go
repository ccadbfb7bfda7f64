package share

import "github.com/cespare/xxhash/v2"

// Key identifies a workspace or a service in the messages between routers.
type Key uint64

// KeyOf returns the key of a name, its xxHash.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// user is a workspace at a service.
type user struct{ workspace, service Key }

// Usage is what a workspace used of a service lately.
type Usage struct {
	user user
	cost float64
}

// NewUsage returns the usage of a workspace at a service, in cost a second.
func NewUsage(workspace, service Key, cost float64) Usage {
	return Usage{user: user{workspace: workspace, service: service}, cost: cost}
}

// Workspace returns the key of the workspace.
func (u Usage) Workspace() Key { return u.user.workspace }

// Service returns the key of the service.
func (u Usage) Service() Key { return u.user.service }

// Cost returns the cost a second.
func (u Usage) Cost() float64 { return u.cost }
