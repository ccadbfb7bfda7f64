package desk

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	QueueFull     Reason = "queue-full"
	QueueTooSlow  Reason = "queue-too-slow"
	QueueDeadline Reason = "queue-deadline"
	EngineClosed  Reason = "engine-closed"
)
