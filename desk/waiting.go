package desk

import "time"

// waiting is a request in the queue.
type waiting struct {
	request  Request
	arrived  time.Time
	deadline time.Time
}
