package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"vanillalug.example"
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

// publishRequest is a document to publish, and its record's fields.
type publishRequest struct {
	fleet   *vanillalug.Fleet
	base    headRow
	version uint64
	author  string
	reason  string
}

// publish writes the document, and then the record of the version and the head
// row in one transaction.
func (v *versions) publish(ctx context.Context, p publishRequest) (register.Head, error) {
	head := register.NewHead(p.version, p.fleet.Digest(), rand.Text())
	record := register.NewRecord(head, p.base.record.Head().Version(),
		register.WithAuthor(p.author), register.WithReason(p.reason),
		register.WithTime(time.Now().UTC()), register.WithRulesLevel(p.fleet.RulesLevel()))
	if err := v.putDocument(ctx, head, p.fleet); err != nil {
		return head, err
	}
	publisher := register.NewPublisher(record)
	effects := publisher.Handle(register.PublishStarted{})
	for {
		var next register.PublishEvent
		for _, e := range effects {
			switch e := e.(type) {
			case register.WriteRecord:
				next = v.writeRecord(ctx, e.Record, p.base)
			case register.ReadRecord:
				next = v.readRecord(ctx, e.Version)
			case register.Published:
				return e.Head, nil
			case register.Conflict:
				return head, &ConflictError{base: p.base.record.Head().Version(), other: e.Other}
			case register.OutcomeUnknown:
				return head, &OutcomeUnknownError{cause: e.Err}
			}
		}
		effects = publisher.Handle(next)
	}
}

// putDocument stores the document and retries until it succeeds. Documents are
// named by their digest, so that storing one twice is harmless.
func (v *versions) putDocument(ctx context.Context, h register.Head, f *vanillalug.Fleet) error {
	for {
		err := v.store.PutObject(ctx, register.DocumentKey(h.Digest()), f.Canonical())
		if err == nil {
			return nil
		}
		if !waitRetry(ctx) {
			return fmt.Errorf("versions.putDocument: nothing was published: %w", err)
		}
	}
}

func (v *versions) writeRecord(ctx context.Context, r register.Record, base headRow) register.PublishEvent {
	raw, err := json.Marshal(r)
	if err != nil {
		return register.RecordReadFailed{Err: err}
	}
	var headCondition depot.Condition = depot.Absent{}
	if base.revision > 0 {
		headCondition = depot.AtRevision{Revision: base.revision}
	}
	err = v.store.Transact(ctx, []depot.Write{
		depot.NewWrite(register.VersionKey(r.Head().Version()), raw, depot.Absent{}),
		depot.NewWrite(register.HeadKey, raw, headCondition),
	})
	var conflict *depot.ConflictError
	switch {
	case err == nil:
		return register.RecordWritten{}
	case errors.As(err, &conflict):
		return register.RecordConflict{}
	}
	return register.RecordResponseLost{}
}

// readRecord reads the record of the version, or the head row if there is no
// such record.
func (v *versions) readRecord(ctx context.Context, version uint64) register.PublishEvent {
	for {
		r, err := v.record(ctx, version)
		var missing *depot.NotFoundError
		switch {
		case err == nil:
			return register.RecordRead{Found: true, Record: r}
		case errors.As(err, &missing):
			return v.readHead(ctx, version)
		case !waitRetry(ctx):
			return register.RecordReadFailed{Err: err}
		}
	}
}

// readHead returns the head's record if the head is at the version or newer.
// Otherwise it reports the version as free, after retryInterval.
func (v *versions) readHead(ctx context.Context, version uint64) register.PublishEvent {
	h, err := v.head(ctx)
	if err == nil && h.record.Head().Version() >= version {
		return register.RecordRead{Found: true, Record: h.record}
	}
	if !waitRetry(ctx) {
		return register.RecordReadFailed{Err: fmt.Errorf("versions.readHead: %w", errors.Join(err, ctx.Err()))}
	}
	return register.RecordRead{}
}

// waitRetry waits for retryInterval. It returns false if ctx ends first.
func waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}
