package depot

import "context"

// Objects is the platform's object store.
type Objects interface {
	// GetObject returns an object, or a *NotFoundError if there is none.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, key string, value []byte) error
}
