package traffic

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vanillalug.example/cmd/load/caller"
)

// Report is the result of a load, as seen by the callers. The token counts and
// Reuse cover complete responses to returning chats.
type Report struct {
	Seed                  uint64            `json:"seed"`
	Sent                  int               `json:"sent"`
	Complete              int               `json:"whole"`
	Returning             int               `json:"returning"`
	ReturningPromptTokens int               `json:"returning-prompt-tokens"`
	ReturningCachedTokens int               `json:"returning-cached-tokens"`
	Reuse                 float64           `json:"reuse"`
	RunStates             map[string]int    `json:"run-states"`
	Problems              map[string]int    `json:"problems"`
	Workspaces            []WorkspaceReport `json:"workspaces"`
	Engines               []EngineReport    `json:"engines,omitempty"`
	Skew                  float64           `json:"skew,omitempty"`
	Control               []ControlReport   `json:"control,omitempty"`

	mu          sync.Mutex
	byWorkspace map[string]*workspaceStats
}

// WorkspaceReport has the latencies of one workspace and class in milliseconds.
type WorkspaceReport struct {
	Workspace     string  `json:"workspace"`
	Class         string  `json:"class"`
	Sent          int     `json:"sent"`
	Complete      int     `json:"whole"`
	FirstTokenP50 float64 `json:"first-token-p50-ms"`
	FirstTokenP95 float64 `json:"first-token-p95-ms"`
	FirstTokenP99 float64 `json:"first-token-p99-ms"`
	MaxGapP95     float64 `json:"largest-gap-p95-ms"`
	TotalP50      float64 `json:"whole-answer-p50-ms"`
	TotalP99      float64 `json:"whole-answer-p99-ms"`
}

// EngineReport has the counters of one engine.
type EngineReport struct {
	Name         string `json:"name"`
	Requests     int    `json:"total"`
	MaxInFlight  int    `json:"peak"`
	PromptTokens int    `json:"prompt-tokens"`
	CachedTokens int    `json:"cached-tokens"`
}

// ControlReport is the control traffic of one router in bytes per second.
type ControlReport struct {
	Router         string             `json:"router"`
	BytesPerSecond float64            `json:"bytes-per-second"`
	ByKind         map[string]float64 `json:"kinds"`
}

type workspaceStats struct {
	workspace Workspace
	sent      int
	complete  int
	first     *hdrhistogram.Histogram
	gap       *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

const (
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, significantDigits)
}

func newReport(p Plan) *Report {
	return &Report{
		Seed: p.Seed, RunStates: map[string]int{}, Problems: map[string]int{}, byWorkspace: map[string]*workspaceStats{},
	}
}

func (r *Report) add(ws Workspace, returning bool, x caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.statsFor(ws)
	r.Sent++
	s.sent++
	r.RunStates[outcomeLabel(x)]++
	if x.Problem != nil {
		r.Problems[x.Problem.Code()]++
	}
	if !x.Complete {
		return
	}
	r.Complete++
	s.complete++
	if returning {
		r.Returning++
		r.ReturningPromptTokens += x.PromptTokens
		r.ReturningCachedTokens += x.CachedTokens
	}
	_ = s.first.RecordValue(x.FirstToken.Microseconds())
	_ = s.gap.RecordValue(x.MaxGap.Microseconds())
	_ = s.total.RecordValue(x.Total.Microseconds())
}

func outcomeLabel(x caller.Result) string {
	switch {
	case x.WrongTokens > 0:
		return "wrong-answer"
	case x.RunState() != "":
		return string(x.RunState())
	case x.Err != nil:
		return "connection-failed"
	}
	return "cut-without-word"
}

func (r *Report) statsFor(ws Workspace) *workspaceStats {
	key := ws.Name + "/" + ws.Class
	s, ok := r.byWorkspace[key]
	if !ok {
		s = &workspaceStats{workspace: ws, first: newHistogram(), gap: newHistogram(), total: newHistogram()}
		r.byWorkspace[key] = s
	}
	return s
}

func (r *Report) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ReturningPromptTokens > 0 {
		r.Reuse = float64(r.ReturningCachedTokens) / float64(r.ReturningPromptTokens)
	}
	for _, key := range slices.Sorted(maps.Keys(r.byWorkspace)) {
		s := r.byWorkspace[key]
		r.Workspaces = append(r.Workspaces, WorkspaceReport{
			Workspace: s.workspace.Name, Class: s.workspace.Class, Sent: s.sent, Complete: s.complete,
			FirstTokenP50: quantileMS(s.first, 50), FirstTokenP95: quantileMS(s.first, 95), FirstTokenP99: quantileMS(s.first, 99),
			MaxGapP95: quantileMS(s.gap, 95), TotalP50: quantileMS(s.total, 50), TotalP99: quantileMS(s.total, 99),
		})
	}
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// SetEngines adds the engines' counters, and the skew: the highest number of
// requests at an engine divided by the mean.
func (r *Report) SetEngines(engines []EngineReport) {
	r.Engines = engines
	total, top := 0, 0
	for _, e := range engines {
		total += e.Requests
		top = max(top, e.Requests)
	}
	if total > 0 {
		r.Skew = float64(top) * float64(len(engines)) / float64(total)
	}
}

// Write prints the report as text.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "sent %d, whole %d, returning %d, reuse of returning prompt tokens %.3f, seed %d\n",
		r.Sent, r.Complete, r.Returning, r.Reuse, r.Seed)
	fmt.Fprintf(out, "run states %v, problems %v\n", r.RunStates, r.Problems)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "workspace\tclass\tsent\twhole\tfirst p50\tp95\tp99\tgap p95\twhole p50\tp99 ms\t")
	for _, x := range r.Workspaces {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", x.Workspace, x.Class, x.Sent, x.Complete,
			x.FirstTokenP50, x.FirstTokenP95, x.FirstTokenP99, x.MaxGapP95, x.TotalP50, x.TotalP99)
	}
	_ = w.Flush()
	if len(r.Engines) > 0 {
		fmt.Fprintf(out, "skew of requests over engines %.3f\n", r.Skew)
	}
	for _, e := range r.Engines {
		fmt.Fprintf(out, "engine %s: %d requests, %d at once at most, %d of %d prompt tokens cached\n",
			e.Name, e.Requests, e.MaxInFlight, e.CachedTokens, e.PromptTokens)
	}
	for _, c := range r.Control {
		fmt.Fprintf(out, "router %s: control %.0f bytes/s %v\n", c.Router, c.BytesPerSecond, c.ByKind)
	}
}
