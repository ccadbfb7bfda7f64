package main

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// requestResult is how a request ended for its caller.
type requestResult string

const (
	resultServed   requestResult = "served"
	resultRejected requestResult = "rejected"
	resultFailed   requestResult = "failed"
	resultCanceled requestResult = "canceled"
)

// requestResults returns all results in the order of the report.
func requestResults() []requestResult {
	return []requestResult{resultServed, resultRejected, resultFailed, resultCanceled}
}

// Texts in a router's log that tell the result of a request.
const (
	outcomeAnswered   = "answered"
	outcomeBrokenOff  = "broken off: "
	outcomeCallerGone = "broken off: caller is gone"
	messageLeftOut    = "log lines left out"
)

// result returns how the request of a request line ended.
func (l logLine) result() requestResult {
	outcome := l.field("outcome")
	status, err := strconv.Atoi(l.field("status"))
	switch {
	case outcome == outcomeCallerGone:
		return resultCanceled
	case err != nil || strings.HasPrefix(outcome, outcomeBrokenOff):
		return resultFailed
	case status == http.StatusServiceUnavailable && outcome != outcomeAnswered:
		return resultRejected
	case status >= http.StatusInternalServerError:
		return resultFailed
	case outcome == outcomeAnswered:
		return resultServed
	}
	return resultRejected
}

// requestReport has the requests of logs by the values of some fields.
type requestReport struct {
	Fields       []string       `json:"fields"`
	Groups       []requestGroup `json:"groups"`
	LinesLeftOut int            `json:"lines-left-out"`
}

// requestGroup has the requests with the same values of the fields. Times are in
// milliseconds, of served requests.
type requestGroup struct {
	Name     []string `json:"name"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Rejected int      `json:"rejected"`
	Failed   int      `json:"failed"`
	Canceled int      `json:"canceled"`
	MedianMS int      `json:"median-ms"`
	P95MS    int      `json:"p95-ms"`
	MaxMS    int      `json:"max-ms"`

	times []int
}

// newRequestReport groups the requests by the values of the fields.
func newRequestReport(lines []logLine, fields []string) requestReport {
	r := requestReport{Fields: fields}
	groups := map[string]*requestGroup{}
	for _, l := range lines {
		switch l.Message {
		case messageLeftOut:
			n, _ := strconv.Atoi(l.field("lines"))
			r.LinesLeftOut += n
		case messageRequest:
			g := groupOf(groups, l, fields)
			g.add(l)
		}
	}
	for _, g := range groups {
		g.summarize()
		r.Groups = append(r.Groups, *g)
	}
	slices.SortFunc(r.Groups, func(a, b requestGroup) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), slices.Compare(a.Name, b.Name))
	})
	return r
}

func groupOf(groups map[string]*requestGroup, l logLine, fields []string) *requestGroup {
	name := make([]string, len(fields))
	for i, f := range fields {
		name[i] = l.field(f)
		if f == "router" {
			name[i] = l.Router
		}
	}
	key := strings.Join(name, "\x00")
	if groups[key] == nil {
		groups[key] = &requestGroup{Name: name}
	}
	return groups[key]
}

func (g *requestGroup) add(l logLine) {
	g.Requests++
	switch l.result() {
	case resultServed:
		g.Served++
		if ms, err := strconv.Atoi(l.field("ms")); err == nil {
			g.times = append(g.times, ms)
		}
	case resultRejected:
		g.Rejected++
	case resultFailed:
		g.Failed++
	case resultCanceled:
		g.Canceled++
	}
}

func (g *requestGroup) summarize() {
	if len(g.times) == 0 {
		return
	}
	slices.Sort(g.times)
	g.MedianMS = g.times[(len(g.times)-1)/2]
	g.P95MS = g.times[(len(g.times)-1)*95/100]
	g.MaxMS = g.times[len(g.times)-1]
}
