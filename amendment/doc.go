// Package amendment encodes a text as its difference from an earlier one, so that a small change of a
// large routing table is a small message. It uses the earlier text as a Zstandard dictionary.
package amendment
