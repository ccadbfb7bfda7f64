package depot

import "context"

// Objects is the platform's object store.
type Objects interface {
	// GetObject returns an object. A missing one is a *NotFoundError.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject stores an object whole.
	PutObject(ctx context.Context, key string, value []byte) error
}
