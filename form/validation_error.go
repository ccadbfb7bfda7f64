package form

import (
	"fmt"
	"strings"
)

// ValidationError is one error in an INI file.
type ValidationError struct {
	file    string
	section string
	key     string
	reason  string
}

// NewValidationError returns an error of the key in the section of the file. An
// empty key stands for the whole section.
func NewValidationError(file, section, key, reason string) ValidationError {
	return ValidationError{file: file, section: section, key: key, reason: reason}
}

// File returns the name of the file.
func (e ValidationError) File() string { return e.file }

// Section returns the full section name, without brackets.
func (e ValidationError) Section() string { return e.section }

// Key returns the key, or "" if the error is about the whole section.
func (e ValidationError) Key() string { return e.key }

// Reason returns what is wrong and which values are allowed.
func (e ValidationError) Reason() string { return e.reason }

// Error implements error.
func (e ValidationError) Error() string {
	if e.key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.file, e.section, e.reason)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.file, e.section, e.key, e.reason)
}

// InvalidFileError contains all errors found in a file.
type InvalidFileError struct {
	errors []ValidationError
}

// NewInvalidFileError returns an error with the given errors, or nil if there are
// none.
func NewInvalidFileError(errors []ValidationError) error {
	if len(errors) == 0 {
		return nil
	}
	return &InvalidFileError{errors: errors}
}

// Errors returns all errors in the order in which they were found.
func (e *InvalidFileError) Errors() []ValidationError { return e.errors }

// Error implements error with one line per error.
func (e *InvalidFileError) Error() string {
	lines := make([]string, 0, len(e.errors))
	for _, err := range e.errors {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}
