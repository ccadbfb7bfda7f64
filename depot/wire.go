package depot

import "fmt"

// The bodies of the HTTP protocol of the platform.
type (
	// RowBody is a Row.
	RowBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	// WriteBody is a Write.
	WriteBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		If       string `json:"if"`
		Revision uint64 `json:"revision,omitempty"`
	}
	// WritesBody is a group of writes or a transaction.
	WritesBody struct {
		Writes []WriteBody `json:"writes"`
	}
	// ResultBody is a Result.
	ResultBody struct {
		Written  bool    `json:"written"`
		Revision uint64  `json:"revision,omitempty"`
		Current  RowBody `json:"current"`
	}
	// ResultsBody answers a group of writes.
	ResultsBody struct {
		Results []ResultBody `json:"results"`
	}
	// ConflictBody answers a transaction whose condition did not hold.
	ConflictBody struct {
		Key string `json:"key"`
	}
	// RowsBody answers a listing.
	RowsBody struct {
		Rows []RowBody `json:"rows"`
	}
	// VMBody is a VM.
	VMBody struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
		Place   string `json:"place"`
		Leaving bool   `json:"leaving"`
	}
	// VMsBody answers a request for the list.
	VMsBody struct {
		VMs []VMBody `json:"vms"`
	}
)

// The values of WriteBody.If.
const (
	ifAlways   = "always"
	ifAbsent   = "absent"
	ifRevision = "revision"
)

// NewRowBody returns the body of a row.
func NewRowBody(r Row) RowBody {
	return RowBody{Key: r.key, Value: r.value, Revision: r.revision}
}

// Row returns the row.
func (b RowBody) Row() Row { return NewRow(b.Key, b.Value, b.Revision) }

// NewWriteBody returns the body of a write.
func NewWriteBody(w Write) WriteBody {
	b := WriteBody{Key: w.key, Value: w.value, If: ifAlways}
	switch c := w.condition.(type) {
	case Absent:
		b.If = ifAbsent
	case AtRevision:
		b.If = ifRevision
		b.Revision = c.Revision
	}
	return b
}

// Write returns the write.
func (b WriteBody) Write() (Write, error) {
	switch b.If {
	case ifAlways:
		return NewWrite(b.Key, b.Value, Always{}), nil
	case ifAbsent:
		return NewWrite(b.Key, b.Value, Absent{}), nil
	case ifRevision:
		return NewWrite(b.Key, b.Value, AtRevision{Revision: b.Revision}), nil
	}
	return Write{}, fmt.Errorf("WriteBody.Write: if: %q is not known", b.If)
}

// NewResultBody returns the body of a result.
func NewResultBody(r Result) ResultBody {
	return ResultBody{Written: r.written, Revision: r.revision, Current: NewRowBody(r.current)}
}

// Result returns the result.
func (b ResultBody) Result() Result {
	if b.Written {
		return NewWritten(b.Revision)
	}
	return NewRejected(b.Current.Row())
}
