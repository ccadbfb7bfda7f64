package vanillalug

import (
	"cmp"
	"strconv"
)

// StoreRevision is a position in the history of a store that several processes
// share. A store that was restored from a backup starts a new epoch, in which it
// assigns the numbers after the backup once more, to other changes. The zero value
// is before every change.
type StoreRevision struct {
	epoch  uint64
	number uint64
}

// NewStoreRevision returns the revision with a number in an epoch. The epoch is 0
// if the store announces none.
func NewStoreRevision(epoch, number uint64) StoreRevision {
	return StoreRevision{epoch: epoch, number: number}
}

// Epoch returns the number of times that the store was restored, as it counts them.
func (r StoreRevision) Epoch() uint64 { return r.epoch }

// Number returns the number of the change within the epoch.
func (r StoreRevision) Number() uint64 { return r.number }

// IsZero reports whether the revision is before every change.
func (r StoreRevision) IsZero() bool { return r == StoreRevision{} }

// Compare returns -1, 0 or 1 if r is before, at or after o: by epoch first, then by
// number.
func (r StoreRevision) Compare(o StoreRevision) int {
	return cmp.Or(cmp.Compare(r.epoch, o.epoch), cmp.Compare(r.number, o.number))
}

// After reports whether r is after o.
func (r StoreRevision) After(o StoreRevision) bool { return r.Compare(o) > 0 }

// String returns the number, after the epoch and a slash unless the epoch is 0.
func (r StoreRevision) String() string {
	number := strconv.FormatUint(r.number, 10)
	if r.epoch == 0 {
		return number
	}
	return strconv.FormatUint(r.epoch, 10) + "/" + number
}

// MarshalText implements encoding.TextMarshaler, for logs.
func (r StoreRevision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }
