package quota

import (
	"math"
	"time"
)

const (
	// MaxCold bounds the time that a target may be cold.
	MaxCold = 10 * time.Minute
	// maxColdAge is the age of a report that states nothing: a presumption. Statements count as younger.
	maxColdAge = time.Hour
)

// ColdSource tells where a statement about a cold target comes from.
type ColdSource string

// The sources of statements.
const (
	ColdEntry    ColdSource = "entry"
	ColdResponse ColdSource = "response"
	ColdPeer     ColdSource = "peer"
	// ColdPresumed is that of a target that joins the view, of which nothing is known.
	ColdPresumed ColdSource = "presumed"
	// ColdPlace is that of a target whose failure domain is taken back after an evacuation.
	ColdPlace ColdSource = "place restored"
)

// ColdStatement is what is said of a target at a time: how much longer it stays cold, and how many
// requests a second it takes meanwhile.
type ColdStatement struct {
	Target    TargetKey
	Remaining time.Duration
	Rate      float64
}

// EntryOrder orders the registry entries of one incarnation: by the heartbeats that the target had
// sent, then by the number of the store's revision.
type EntryOrder struct {
	Sequence int64
	Written  uint64
}

func (o EntryOrder) after(p EntryOrder) bool {
	return o.Sequence > p.Sequence || o.Sequence == p.Sequence && o.Written > p.Written
}

// ColdReport is a statement with its age, as peers exchange it.
type ColdReport struct {
	ColdStatement
	Age time.Duration
}

func (r ColdReport) valid() bool {
	return r.Age >= 0 && r.Age <= maxColdAge && (r.Remaining == 0 || r.Remaining > 0 && r.Rate > 0 && !math.IsInf(r.Rate, 0))
}

// cold is the statement about one target that counts.
type cold struct {
	until time.Time
	rate  float64
	// at is when it was stated; the zero time if anything that is stated replaces it.
	at    time.Time
	order EntryOrder
	// own says that this router read it in an entry or a response.
	own    bool
	source ColdSource
	// changedAt is when the target became cold, or warm before its time.
	changedAt time.Time
	// seenAt is when anything was last recorded, so that the target is kept.
	seenAt time.Time
}

func (c *cold) coldAt(now time.Time) bool { return c != nil && c.rate > 0 && now.Before(c.until) }
