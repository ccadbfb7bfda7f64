package notice

import "time"

// Accepts reports whether a request can end before a router stops: left is the time until then, upper
// how long requests like it take, 0 if unknown, and limit the time that the request has.
func Accepts(left, upper, limit time.Duration) bool {
	needed := limit
	if upper > 0 {
		needed = min(upper, limit)
	}
	return needed <= left
}
