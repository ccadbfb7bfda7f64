package desk

// Reason is why a request was rejected.
type Reason string

// The reasons for rejections.
const (
	QueueFull     Reason = "queue-full"
	QueueTooSlow  Reason = "queue-too-slow"
	QueueDeadline Reason = "queue-deadline"
	EngineClosed  Reason = "engine-closed"
)
