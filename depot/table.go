package depot

import "context"

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or a *NotFoundError if there is none.
	Get(ctx context.Context, key string) (Row, error)
	// Write applies each write independently and returns a result for each, in
	// order. An error concerns the whole group.
	Write(ctx context.Context, writes []Write) ([]Result, error)
	// Transact applies all writes or none. It returns a *ConflictError if a
	// condition does not hold.
	Transact(ctx context.Context, writes []Write) error
	// List returns up to limit rows whose keys have the prefix and sort after
	// the given key, in order of key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Row is one row of the table.
type Row struct {
	key      string
	value    []byte
	revision uint64
}

// NewRow returns a row. The revision grows with every write of the row.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: value, revision: revision}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value.
func (r Row) Value() []byte { return r.value }

// Revision returns the revision, at least 1.
func (r Row) Revision() uint64 { return r.revision }

// Write is one conditional write.
type Write struct {
	key       string
	value     []byte
	condition Condition
}

// NewWrite returns a write of the value under the condition.
func NewWrite(key string, value []byte, condition Condition) Write {
	return Write{key: key, value: value, condition: condition}
}

// Key returns the key.
func (w Write) Key() string { return w.key }

// Value returns the value.
func (w Write) Value() []byte { return w.value }

// Condition returns the condition.
func (w Write) Condition() Condition { return w.condition }

// Result is the result of one write of a group.
type Result struct {
	written  bool
	revision uint64
	current  Row
}

// NewWritten returns the result of a write that took effect.
func NewWritten(revision uint64) Result { return Result{written: true, revision: revision} }

// NewRejected returns the result of a write whose condition did not hold, with
// the row as it is; the row of a missing key has revision 0.
func NewRejected(current Row) Result { return Result{current: current} }

// Written reports whether the write took effect.
func (r Result) Written() bool { return r.written }

// Revision returns the new revision of a written row.
func (r Result) Revision() uint64 { return r.revision }

// Current returns the current row of a rejected write.
func (r Result) Current() Row { return r.current }
