package plan

import "time"

// Limits bound the size of requests and the time that callers may take.
type Limits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// NewLimits returns the limits of headers and bodies in bytes, of the time to
// receive a header, and of the time that a connection may be idle.
func NewLimits(headerBytes int, bodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// HeaderBytes returns the largest size of a request's header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the largest size of a request's body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long a caller may take to send a header.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns how long a connection may be idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }
