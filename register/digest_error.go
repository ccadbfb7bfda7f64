package register

import "fmt"

// DigestError says that a document is not the one that its head names.
type DigestError struct {
	head   Head
	digest string
}

// Head returns the head that was asked for.
func (e *DigestError) Head() Head { return e.head }

// Digest returns the digest of the document that came.
func (e *DigestError) Digest() string { return e.digest }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d: digest is %s, want %s", e.head.version, e.digest, e.head.digest)
}
