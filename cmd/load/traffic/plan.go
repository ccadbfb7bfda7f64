package traffic

import (
	"time"
)

// Plan is a load to generate. Rate is in requests per second.
type Plan struct {
	Routers    []string
	Model      string
	Workspaces []Workspace
	Rate       float64
	Duration   time.Duration
	// ReturningShare is the share of arrivals that continue an idle chat.
	ReturningShare float64
	// ThinkTime is the minimum time between two turns of a chat.
	ThinkTime time.Duration
	// PromptTokens is the approximate number of tokens in each message.
	PromptTokens   int
	ResponseTokens int
	Seed           uint64
	Surge          Surge
}

// Workspace is a workspace that sends chats. Its share of the arrivals is
// proportional to Weight.
type Workspace struct {
	Name   string
	Key    string
	Class  string
	Weight float64
}

// Surge multiplies the rate of one workspace by Factor between two times, which
// count from the start of the load.
type Surge struct {
	Workspace string
	Factor    float64
	From      time.Duration
	To        time.Duration
}

// factor returns the factor of a workspace's rate at a time.
func (s Surge) factor(workspace string, at time.Duration) float64 {
	if workspace == s.Workspace && at >= s.From && at < s.To {
		return s.Factor
	}
	return 1
}
