package register

import (
	"encoding/json"
	"fmt"
	"time"
)

// Keys of the published versions in the platform's table.
const (
	HeadKey       = "fleet/head"
	versionPrefix = "fleet/version/"
)

// VersionKey returns the key of the record of a version. The number is padded, so
// that keys sort by version.
func VersionKey(version uint64) string { return fmt.Sprintf("%s%012d", versionPrefix, version) }

// VersionPrefix returns the prefix of the keys of all versions.
func VersionPrefix() string { return versionPrefix }

// DocumentKey returns the key of a document in the object store.
func DocumentKey(digest string) string { return "fleet/document/" + digest }

// Record is the stored entry of one published version: who published it, when
// and why. It marshals to the JSON of the row.
type Record struct {
	head       Head
	base       uint64
	rulesLevel int
	author     string
	reason     string
	at         time.Time
}

// RecordOption changes a new Record.
type RecordOption func(*Record)

// WithAuthor sets who published the version.
func WithAuthor(author string) RecordOption { return func(r *Record) { r.author = author } }

// WithReason sets why it was published.
func WithReason(reason string) RecordOption { return func(r *Record) { r.reason = reason } }

// WithTime sets when it was published.
func WithTime(at time.Time) RecordOption { return func(r *Record) { r.at = at } }

// WithRulesLevel sets the rules level of the document.
func WithRulesLevel(level int) RecordOption { return func(r *Record) { r.rulesLevel = level } }

// NewRecord returns the record of a head that is based on the version base.
func NewRecord(head Head, base uint64, opts ...RecordOption) Record {
	r := Record{head: head, base: base}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// Head returns the head of the version.
func (r Record) Head() Head { return r.head }

// Base returns the version that this one is based on.
func (r Record) Base() uint64 { return r.base }

// RulesLevel returns the rules level of the document.
func (r Record) RulesLevel() int { return r.rulesLevel }

// Author returns who published the version.
func (r Record) Author() string { return r.author }

// Reason returns why it was published.
func (r Record) Reason() string { return r.reason }

// At returns when it was published.
func (r Record) At() time.Time { return r.at }

type recordBody struct {
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	Publication string    `json:"publication"`
	Base        uint64    `json:"base"`
	RulesLevel  int       `json:"rules-level"`
	Author      string    `json:"author"`
	Reason      string    `json:"reason"`
	At          time.Time `json:"at"`
}

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordBody{
		Version: r.head.version, Digest: r.head.digest, Publication: r.head.publication,
		Base: r.base, RulesLevel: r.rulesLevel, Author: r.author, Reason: r.reason, At: r.at,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(raw []byte) error {
	var b recordBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return fmt.Errorf("Record.UnmarshalJSON: %w", err)
	}
	*r = Record{
		head: NewHead(b.Version, b.Digest, b.Publication),
		base: b.Base, rulesLevel: b.RulesLevel, author: b.Author, reason: b.Reason, at: b.At,
	}
	return nil
}
