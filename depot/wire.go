package depot

import "fmt"

// The JSON bodies of the platform's HTTP protocol.
type (
	// RowBody encodes a Row.
	RowBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
	}
	// WriteBody encodes a Write.
	WriteBody struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		If       string `json:"if"`
		Revision uint64 `json:"revision,omitempty"`
	}
	// WritesBody requests a group of writes or a transaction.
	WritesBody struct {
		Writes []WriteBody `json:"writes"`
	}
	// ResultBody encodes a Result.
	ResultBody struct {
		Written  bool    `json:"written"`
		Revision uint64  `json:"revision,omitempty"`
		Current  RowBody `json:"current"`
	}
	// ResultsBody is the response to a group of writes.
	ResultsBody struct {
		Results []ResultBody `json:"results"`
	}
	// ConflictBody is the response to a transaction whose condition did not hold.
	ConflictBody struct {
		Key string `json:"key"`
	}
	// RowsBody is the response to a listing of rows.
	RowsBody struct {
		Rows []RowBody `json:"rows"`
	}
	// VMBody encodes a VM.
	VMBody struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
		Place   string `json:"place"`
		Leaving bool   `json:"leaving"`
	}
	// VMsBody is the response to a request for the list of VMs.
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

// NewRowBody encodes a row.
func NewRowBody(r Row) RowBody {
	return RowBody{Key: r.key, Value: r.value, Revision: r.revision}
}

// Row decodes the row.
func (b RowBody) Row() Row { return NewRow(b.Key, b.Value, b.Revision) }

// NewWriteBody encodes a write.
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

// Write decodes the write. It fails if the condition is unknown.
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

// NewResultBody encodes a result.
func NewResultBody(r Result) ResultBody {
	return ResultBody{Written: r.written, Revision: r.revision, Current: NewRowBody(r.current)}
}

// Result decodes the result.
func (b ResultBody) Result() Result {
	if b.Written {
		return NewWritten(b.Revision)
	}
	return NewRejected(b.Current.Row())
}
