package edition

// StreamKey identifies a stream by the caller's attempt that brought its first event, and by
// what only the same caller sends again.
type StreamKey uint64

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is that of the target that brought the first event; "" if it is unknown,
	// which equals no version.
	SoftwareVersion string
}

// GoesOnAt reports whether the stream may go on at a target of the service with the version.
func (o Origin) GoesOnAt(softwareVersion string) bool {
	return softwareVersion != "" && softwareVersion == o.SoftwareVersion
}
