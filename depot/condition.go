package depot

// Condition is the precondition of a write.
type Condition interface{ condition() }

// Always holds unconditionally.
type Always struct{}

// Absent holds if the key has no row.
type Absent struct{}

// AtRevision holds if the row has the revision.
type AtRevision struct{ Revision uint64 }

func (Always) condition()     {}
func (Absent) condition()     {}
func (AtRevision) condition() {}

// Holds reports whether the condition holds for a row with the revision; revision
// 0 means no row.
func Holds(c Condition, revision uint64) bool {
	switch c := c.(type) {
	case Absent:
		return revision == 0
	case AtRevision:
		return revision == c.Revision
	default:
		return true
	}
}
