package form

import (
	"fmt"
	"strings"
)

// ValidationError is one thing wrong in an INI file.
type ValidationError struct {
	file    string
	section string
	key     string
	reason  string
}

// NewValidationError returns a fault of the key in the section of the file.
// An empty key means the section as a whole.
func NewValidationError(file, section, key, reason string) ValidationError {
	return ValidationError{file: file, section: section, key: key, reason: reason}
}

// File returns the name of the file.
func (f ValidationError) File() string { return f.file }

// Section returns the full section name, without brackets.
func (f ValidationError) Section() string { return f.section }

// Key returns the key, or "" when the whole section is at fault.
func (f ValidationError) Key() string { return f.key }

// Reason says what is wrong and what is allowed.
func (f ValidationError) Reason() string { return f.reason }

// Error implements error.
func (f ValidationError) Error() string {
	if f.key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.file, f.section, f.reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.file, f.section, f.key, f.reason)
}

// InvalidFileError carries every fault found in a file.
type InvalidFileError struct {
	faults []ValidationError
}

// NewInvalidFileError returns an error with the faults, or nil when there are none.
func NewInvalidFileError(faults []ValidationError) error {
	if len(faults) == 0 {
		return nil
	}
	return &InvalidFileError{faults: faults}
}

// Errors returns every fault in the order in which it was found.
func (e *InvalidFileError) Errors() []ValidationError { return e.faults }

// Error implements error with one line for each fault.
func (e *InvalidFileError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}
