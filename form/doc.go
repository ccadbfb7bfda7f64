// Package form reads INI files whose every fault is reported together.
//
// A File is read section by section. Each getter notes the key that it was
// asked for, so that File.Err can also report keys nobody asked for.
package form
