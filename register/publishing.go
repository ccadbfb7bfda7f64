package register

import "fmt"

// Publishing decides one act of publishing: the record of the new version is
// written if its number is free, and a lost answer is settled by reading back
// the publication id. The head row follows the records.
type Publishing struct {
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

// PublishBegun starts it.
type PublishBegun struct{}

// RecordWritten says that the conditional write took effect.
type RecordWritten struct{}

// RecordRefused says that the condition did not hold.
type RecordRefused struct{}

// RecordLost says that the answer to the write was lost.
type RecordLost struct{}

// RecordRead brings the record that holds the number; Found is false for none.
type RecordRead struct {
	Found  bool
	Record Record
}

// RecordUnreadable says that reading back failed for good.
type RecordUnreadable struct{ Err error }

func (PublishBegun) publishEvent()     {}
func (RecordWritten) publishEvent()    {}
func (RecordRefused) publishEvent()    {}
func (RecordLost) publishEvent()       {}
func (RecordRead) publishEvent()       {}
func (RecordUnreadable) publishEvent() {}

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

// Undecided reports that nobody could tell whether the version is accepted.
type Undecided struct{ Err error }

func (WriteRecord) publishEffect() {}
func (ReadRecord) publishEffect()  {}
func (Published) publishEffect()   {}
func (Conflict) publishEffect()    {}
func (Undecided) publishEffect()   {}

// NewPublishing returns the act of publishing the record.
func NewPublishing(record Record) *Publishing { return &Publishing{record: record} }

// Handle takes an event and returns the effects to carry out.
func (p *Publishing) Handle(ev PublishEvent) []PublishEffect {
	if p.state == publishEnded {
		return nil
	}
	switch e := ev.(type) {
	case PublishBegun:
		p.state = publishWriting
		return []PublishEffect{WriteRecord{Record: p.record}}
	case RecordWritten:
		p.state = publishEnded
		return []PublishEffect{Published{Head: p.record.head}}
	case RecordRefused, RecordLost:
		p.state = publishReading
		return []PublishEffect{ReadRecord{Version: p.record.head.version}}
	case RecordRead:
		return p.read(e)
	case RecordUnreadable:
		p.state = publishEnded
		return []PublishEffect{Undecided{Err: fmt.Errorf("Publishing.Handle: %w", e.Err)}}
	}
	return nil
}

func (p *Publishing) read(e RecordRead) []PublishEffect {
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
