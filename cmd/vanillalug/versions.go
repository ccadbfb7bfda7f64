package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"vanillalug.example/depot"
	"vanillalug.example/register"
)

const (
	commandTimeout = 30 * time.Second
	retryInterval  = 200 * time.Millisecond
	listPageSize   = 1000
)

// store is the platform's storage of the published versions.
type store interface {
	depot.Table
	depot.Objects
}

// versions reads and publishes the versions of the fleet document.
type versions struct {
	store store
}

func newVersions(s store) *versions { return &versions{store: s} }

// headRow is the newest record with the revision of its row.
type headRow struct {
	record   register.Record
	revision uint64
}

// head returns the newest version, or version 0 if none was published.
func (v *versions) head(ctx context.Context) (headRow, error) {
	row, err := v.store.Get(ctx, register.HeadKey)
	var missing *depot.NotFoundError
	if errors.As(err, &missing) {
		return headRow{}, nil
	}
	if err != nil {
		return headRow{}, fmt.Errorf("versions.head: %w", err)
	}
	h := headRow{revision: row.Revision()}
	if err := json.Unmarshal(row.Value(), &h.record); err != nil {
		return headRow{}, fmt.Errorf("versions.head: %w", err)
	}
	return h, nil
}

// record returns the record of a published version.
func (v *versions) record(ctx context.Context, version uint64) (register.Record, error) {
	var r register.Record
	row, err := v.store.Get(ctx, register.VersionKey(version))
	if err != nil {
		return r, fmt.Errorf("versions.record: version %d: %w", version, err)
	}
	if err := json.Unmarshal(row.Value(), &r); err != nil {
		return r, fmt.Errorf("versions.record: version %d: %w", version, err)
	}
	return r, nil
}

// text returns the document that the head refers to, or nil for version 0.
func (v *versions) text(ctx context.Context, h register.Head) ([]byte, error) {
	if h.Version() == 0 {
		return nil, nil
	}
	text, err := v.store.GetObject(ctx, register.DocumentKey(h.Digest()))
	if err != nil {
		return nil, fmt.Errorf("versions.text: version %d: %w", h.Version(), err)
	}
	return text, nil
}

// history returns the records of all versions, oldest first.
func (v *versions) history(ctx context.Context) ([]register.Record, error) {
	var out []register.Record
	after := ""
	for {
		rows, err := v.store.List(ctx, register.VersionPrefix(), after, listPageSize)
		if err != nil {
			return nil, fmt.Errorf("versions.history: %w", err)
		}
		for _, row := range rows {
			var r register.Record
			if err := json.Unmarshal(row.Value(), &r); err != nil {
				return nil, fmt.Errorf("versions.history: %s: %w", row.Key(), err)
			}
			out = append(out, r)
			after = row.Key()
		}
		if len(rows) < listPageSize {
			return out, nil
		}
	}
}

// ConflictError is returned when another operator has published since the base
// version.
type ConflictError struct {
	base  uint64
	other register.Record
}

// Base returns the version that the document was based on.
func (e *ConflictError) Base() uint64 { return e.base }

// Other returns the record of the conflicting version.
func (e *ConflictError) Other() register.Record { return e.other }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the document was based on version %d, but version %d was published by %s (%s)",
		e.base, e.other.Head().Version(), e.other.Author(), e.other.Reason())
}

// OutcomeUnknownError is returned when it could not be determined whether the
// version was accepted.
type OutcomeUnknownError struct{ cause error }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("not known whether the version was accepted: %v; look at the history", e.cause)
}
