package enginetest

import (
	"strconv"
	"time"

	"vanillalug.example/share"
)

// End is how a request ended.
type End uint8

// The ends of a request.
const (
	// InTime requests were served within their goals.
	InTime End = iota
	// Late ones were served after it, or with a long pause.
	Late
	// Rejected ones were refused for the last time.
	Rejected
	// Expired ones were not complete when their caller disconnected.
	Expired
)

// lateCredit is the credit of a request that was served late; in time it is 1, else 0.
const lateCredit = 0.4

// Outcome is how one request ended.
type Outcome struct {
	Start     time.Duration
	Class     string
	Rank      int
	Workspace int
	End       End
}

func (s *simulation) recordOutcome(q *request, end End) {
	s.result.Outcomes = append(s.result.Outcomes, Outcome{Start: q.start, Class: q.class.Name, Rank: q.rank, Workspace: q.workspace, End: end})
}

// credit returns what the request is worth to its caller.
func (o Outcome) credit() float64 {
	switch o.End {
	case InTime:
		return 1
	case Late:
		return lateCredit
	default:
		return 0
	}
}

// Credit returns the share of credit of the requests that match.
func (r Result) Credit(match func(Outcome) bool) float64 {
	sum, n := 0.0, 0
	for _, o := range r.Outcomes {
		if match(o) {
			sum += o.credit()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// LateShare returns the share of the served requests that match which were late.
func (r Result) LateShare(match func(Outcome) bool) float64 {
	late, n := 0, 0
	for _, o := range r.Outcomes {
		if match(o) && o.End <= Late {
			n++
			late += int(o.End)
		}
	}
	return ratio(late, n)
}

// WholeCredit returns the share of credit of all requests.
func (r Result) WholeCredit() float64 { return r.Credit(func(Outcome) bool { return true }) }

// WorstSeconds returns the lowest share of credit of the requests that arrived within two seconds.
func (r Result) WorstSeconds() float64 {
	const window = 2 * time.Second
	worst := 1.0
	for from := time.Duration(0); from+window <= PatternDuration; from += window / 4 {
		worst = min(worst, r.Credit(func(o Outcome) bool { return o.Start >= from && o.Start < from+window }))
	}
	return worst
}

// WorstClass returns the lowest share of credit of a class.
func (r Result) WorstClass() float64 {
	classes := map[string]bool{}
	for _, o := range r.Outcomes {
		classes[o.Class] = true
	}
	worst := 1.0
	for c := range classes {
		worst = min(worst, r.Credit(OfClass(c)))
	}
	return worst
}

// OfClass matches the requests of a class.
func OfClass(class string) func(Outcome) bool {
	return func(o Outcome) bool { return o.Class == class }
}

var usageKey = share.KeyOf(service)

func workspaceKey(n int) share.Key { return share.KeyOf(strconv.Itoa(n)) }
