package intake

import "time"

const (
	// accountRatio is the part of the process's memory that the account may hold. The rest is for
	// the program, the routing table, targets and peers, and for garbage that isn't collected yet.
	accountRatio = 0.25
	// connectionMemory is the memory for each connection that may be open, in bytes: a connection
	// needs ConnectionBytes, and its request some more.
	connectionMemory = 64 << 10
	// DefaultReserve is the size of the reserve, in bytes: one request with a body of 4 MiB, while
	// its buffer grows, and one buffered response.
	DefaultReserve = 10 << 20
	// DefaultAddressShare lets one address hold the whole account, as a balancer may show all callers
	// of a failure domain under one address.
	DefaultAddressShare = 1
	// DefaultBodyRate is the lowest rate of a body, in bytes a second, after DefaultBodyGrace.
	DefaultBodyRate = 256
	// DefaultBodyGrace is the longest deadline of a request within the limits.
	DefaultBodyGrace = 15 * time.Second
)

// Limits bound an Account.
type Limits struct {
	// Size is what the holders together may hold, in bytes.
	Size int64
	// Reserve is what one holder may hold when the rest is taken, in bytes.
	Reserve int64
	// AddressShare is the part of Size that the unfinished bodies of one address may hold.
	AddressShare float64
	// BodyRate is the lowest rate of a body, in bytes a second, after BodyGrace; 0 is no limit.
	BodyRate  int
	BodyGrace time.Duration
}

// DefaultLimits returns the limits of a process with that much memory, in bytes.
func DefaultLimits(memory int64) Limits {
	return Limits{
		Size: int64(float64(memory) * accountRatio), Reserve: DefaultReserve, AddressShare: DefaultAddressShare,
		BodyRate: DefaultBodyRate, BodyGrace: DefaultBodyGrace,
	}
}

// MaxConns returns how many connections a listener may have open, by the process's memory in bytes,
// and by the part of its descriptors that is for the listener.
func MaxConns(memory int64, descriptors int, part float64) int {
	byMemory := memory / connectionMemory
	return max(int(min(byMemory, int64(float64(descriptors)*part))), 1)
}
