package register

import "fmt"

// Publisher decides one act of publishing: the record of the new version is
// written if its number is free, and a lost answer is settled by reading back
// the publication id. The head row follows the records.
type Publisher struct {
	record Record
	state  publishState
}

type publishState uint8

const (
	publishStarted publishState = iota
	publishWriting
	publishReading
	publishEnded
)

// PublishEvent is something that happened to a Publishing.
type PublishEvent interface{ publishEvent() }

// PublishStarted starts it.
type PublishStarted struct{}

// RecordWritten says that the conditional write took effect.
type RecordWritten struct{}

// RecordConflict says that the condition did not hold.
type RecordConflict struct{}

// RecordResponseLost says that the answer to the write was lost.
type RecordResponseLost struct{}

// RecordRead brings the record that holds the number; Found is false for none.
type RecordRead struct {
	Found  bool
	Record Record
}

// RecordReadFailed says that reading back failed for good.
type RecordReadFailed struct{ Err error }

func (PublishStarted) publishEvent()     {}
func (RecordWritten) publishEvent()      {}
func (RecordConflict) publishEvent()     {}
func (RecordResponseLost) publishEvent() {}
func (RecordRead) publishEvent()         {}
func (RecordReadFailed) publishEvent()   {}

// PublishEffect is something to carry out for a Publishing.
type PublishEffect interface{ publishEffect() }

// WriteRecord asks to write the record if its key is absent.
type WriteRecord struct{ Record Record }

// ReadRecord asks for the record that holds the number.
type ReadRecord struct{ Version uint64 }

// Published reports that the version is accepted.
type Published struct{ Head Head }

// Conflict reports that another publication holds the number.
type Conflict struct{ Other Record }

// OutcomeUnknown reports that nobody could tell whether the version is accepted.
type OutcomeUnknown struct{ Err error }

func (WriteRecord) publishEffect()    {}
func (ReadRecord) publishEffect()     {}
func (Published) publishEffect()      {}
func (Conflict) publishEffect()       {}
func (OutcomeUnknown) publishEffect() {}

// NewPublisher returns the act of publishing the record.
func NewPublisher(record Record) *Publisher { return &Publisher{record: record} }

// Handle takes an event and returns the effects to carry out.
func (p *Publisher) Handle(ev PublishEvent) []PublishEffect {
	if p.state == publishEnded {
		return nil
	}
	switch e := ev.(type) {
	case PublishStarted:
		p.state = publishWriting
		return []PublishEffect{WriteRecord{Record: p.record}}
	case RecordWritten:
		p.state = publishEnded
		return []PublishEffect{Published{Head: p.record.head}}
	case RecordConflict, RecordResponseLost:
		p.state = publishReading
		return []PublishEffect{ReadRecord{Version: p.record.head.version}}
	case RecordRead:
		return p.read(e)
	case RecordReadFailed:
		p.state = publishEnded
		return []PublishEffect{OutcomeUnknown{Err: fmt.Errorf("Publishing.Handle: %w", e.Err)}}
	}
	return nil
}

func (p *Publisher) read(e RecordRead) []PublishEffect {
	if !e.Found {
		p.state = publishWriting
		return []PublishEffect{WriteRecord{Record: p.record}}
	}
	p.state = publishEnded
	if e.Record.head.publication == p.record.head.publication {
		return []PublishEffect{Published{Head: p.record.head}}
	}
	return []PublishEffect{Conflict{Other: e.Record}}
}
