package register

import "fmt"

// DigestError reports a document whose digest differs from that of its head.
type DigestError struct {
	head   Head
	digest string
}

// Head returns the head of the requested version.
func (e *DigestError) Head() Head { return e.head }

// Digest returns the digest of the received document.
func (e *DigestError) Digest() string { return e.digest }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d: digest is %s, want %s", e.head.version, e.digest, e.head.digest)
}
