package traffic

import (
	"time"
)

// Plan is the load to send.
type Plan struct {
	Routers        []string
	Model          string
	Workspaces     []Workspace
	Rate           float64
	Duration       time.Duration
	ReturningShare float64
	ThinkTime      time.Duration
	PromptTokens   int
	ResponseTokens int
	Seed           uint64
	Surge          Surge
}

// Workspace is one workspace that sends chats.
type Workspace struct {
	Name   string
	Key    string
	Class  string
	Weight float64
}

// Surge multiplies the rate of one workspace for a time.
type Surge struct {
	Workspace string
	Factor    float64
	From      time.Duration
	To        time.Duration
}

// factor returns the multiple of the rate of a workspace at a time.
func (s Surge) factor(workspace string, at time.Duration) float64 {
	if workspace == s.Workspace && at >= s.From && at < s.To {
		return s.Factor
	}
	return 1
}
