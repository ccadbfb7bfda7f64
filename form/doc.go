// Package form parses and validates INI files, and reports all errors of a file
// together.
//
// A File is read section by section. Each getter records the key that it was
// called with, so that File.Err can also report unknown keys.
package form
