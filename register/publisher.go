package register

import "fmt"

// Publisher is the state machine that publishes one version. The record of the
// version is written if no other has its number. If the response to the write is
// lost, the publication id of the record is read back. The head row is updated
// along with the records.
type Publisher struct {
	record Record
	state  publishState
}

type publishState uint8

const (
	publishNew publishState = iota
	publishWriting
	publishReading
	publishEnded
)

// PublishEvent is an input of a Publisher.
type PublishEvent interface{ publishEvent() }

// PublishStarted starts the publication.
type PublishStarted struct{}

// RecordWritten reports that the conditional write took effect.
type RecordWritten struct{}

// RecordConflict reports that the condition of the write did not hold.
type RecordConflict struct{}

// RecordResponseLost reports that the response to the write was lost.
type RecordResponseLost struct{}

// RecordRead carries the record of the version number, if there is one.
type RecordRead struct {
	Found  bool
	Record Record
}

// RecordReadFailed reports that the read failed and won't be retried.
type RecordReadFailed struct{ Err error }

func (PublishStarted) publishEvent()     {}
func (RecordWritten) publishEvent()      {}
func (RecordConflict) publishEvent()     {}
func (RecordResponseLost) publishEvent() {}
func (RecordRead) publishEvent()         {}
func (RecordReadFailed) publishEvent()   {}

// PublishEffect is an action that the caller performs for a Publisher.
type PublishEffect interface{ publishEffect() }

// WriteRecord requests a write of the record if its key does not exist.
type WriteRecord struct{ Record Record }

// ReadRecord requests a read of the record of the version number.
type ReadRecord struct{ Version uint64 }

// Published reports that the version is published.
type Published struct{ Head Head }

// Conflict reports that another publication has the version number.
type Conflict struct{ Other Record }

// OutcomeUnknown reports that it is unknown whether the version is published.
type OutcomeUnknown struct{ Err error }

func (WriteRecord) publishEffect()    {}
func (ReadRecord) publishEffect()     {}
func (Published) publishEffect()      {}
func (Conflict) publishEffect()       {}
func (OutcomeUnknown) publishEffect() {}

// NewPublisher returns a publisher of the record.
func NewPublisher(record Record) *Publisher { return &Publisher{record: record} }

// Handle processes an event and returns the effects to perform.
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
		return []PublishEffect{OutcomeUnknown{Err: fmt.Errorf("Publisher.Handle: %w", e.Err)}}
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
