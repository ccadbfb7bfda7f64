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
