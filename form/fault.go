package form

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in an INI file.
type Fault struct {
	file    string
	section string
	key     string
	reason  string
}

// NewFault returns a fault of the key in the section of the file.
// An empty key means the section as a whole.
func NewFault(file, section, key, reason string) Fault {
	return Fault{file: file, section: section, key: key, reason: reason}
}

// File returns the name of the file.
func (f Fault) File() string { return f.file }

// Section returns the full section name, without brackets.
func (f Fault) Section() string { return f.section }

// Key returns the key, or "" when the whole section is at fault.
func (f Fault) Key() string { return f.key }

// Reason says what is wrong and what is allowed.
func (f Fault) Reason() string { return f.reason }

// Error implements error.
func (f Fault) Error() string {
	if f.key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.file, f.section, f.reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.file, f.section, f.key, f.reason)
}

// FaultsError carries every fault found in a file.
type FaultsError struct {
	faults []Fault
}

// NewFaultsError returns an error with the faults, or nil when there are none.
func NewFaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultsError{faults: faults}
}

// Faults returns every fault in the order in which it was found.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error implements error with one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}
