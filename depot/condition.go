package depot

// Condition has to hold for a write to take effect.
type Condition interface{ condition() }

// Always holds in any case.
type Always struct{}

// Absent holds while the key has no row.
type Absent struct{}

// AtRevision holds while the row has the revision.
type AtRevision struct{ Revision uint64 }

func (Always) condition()     {}
func (Absent) condition()     {}
func (AtRevision) condition() {}

// Holds reports whether the condition holds for a row; revision 0 is no row.
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
