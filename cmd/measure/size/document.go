package size

import (
	"fmt"
	"strings"
	"time"

	"vanillalug.example"
)

// Document is the cost of a fleet document: its canonical size in bytes, the
// processor time to read and check it, and its heap memory in bytes.
type Document struct {
	Bytes  int
	Check  time.Duration
	Memory int64
}

// MeasureDocument builds a document and measures reading and checking it.
func MeasureDocument(engines, workspaces int) (Document, error) {
	text := documentText(engines, workspaces)
	before := heap()
	cpu := processorTime()
	f, err := vanillalug.ReadFleet("measured", text)
	if err != nil {
		return Document{}, err
	}
	check := processorTime() - cpu
	d := Document{Bytes: len(f.Canonical()), Check: check, Memory: heap() - before}
	_ = f.Digest()
	return d, nil
}

func documentText(engines, workspaces int) []byte {
	var b strings.Builder
	b.WriteString("[fleet]\nname = big\n")
	for i := range 7 {
		fmt.Fprintf(&b, "[place place-%d]\nregion = region-%d\n", i, i%2)
	}
	b.WriteString("[class interactive]\nweight = 8\n[class batch]\n[service ledger]\n")
	for i := range engines {
		fmt.Fprintf(&b, "[engine engine-%03d]\nplace = place-%d\naddress = 10.1.%d.%d:8000\nmodels = model-%d\nslots = 64\n",
			i, i%7, i/250, i%250, i%6)
	}
	for i := range workspaces {
		fmt.Fprintf(&b, "[workspace workspace-%03d]\nkey-sha256 = %s\nclass = interactive\n", i, vanillalug.KeyDigest(fmt.Sprint(i)))
	}
	return []byte(b.String())
}
