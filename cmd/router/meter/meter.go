// Package meter counts and records the metrics of a router and writes them in
// the Prometheus text format.
package meter

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is a kind of control traffic.
type Kind string

// The kinds of control traffic.
const (
	Probe        Kind = "probe"
	ProbeServed  Kind = "probe-served"
	Document     Kind = "document"
	HandOver     Kind = "hand-over"
	EngineReport Kind = "engine-report"
	CacheEvents  Kind = "cache-events"
	Platform     Kind = "platform"
)

// segmentHeaderBytes is the size of the IP and TCP headers of one segment.
const segmentHeaderBytes = 40

// ControlBytes counts bytes sent and received for a kind of control traffic.
// Each read or write counts as one segment.
func ControlBytes(kind Kind) func(sent, received int) {
	c := metrics.GetOrCreateCounter(fmt.Sprintf(`vanillalug_control_bytes_total{kind=%q}`, kind))
	return func(sent, received int) {
		c.Add(sent + received + segmentHeaderBytes)
	}
}

// TimeToFirstToken records the time to the first token of a chat.
func TimeToFirstToken(workspace, class string, d time.Duration) {
	observe("vanillalug_first_token_seconds", workspace, class, d)
}

// InterTokenLatency records the time between two tokens of a chat.
func InterTokenLatency(workspace, class string, d time.Duration) {
	observe("vanillalug_between_tokens_seconds", workspace, class, d)
}

// ResponseTime records the time until a response was complete.
func ResponseTime(workspace, class string, d time.Duration) {
	observe("vanillalug_whole_answer_seconds", workspace, class, d)
}

// QueueWait records how long a request waited for an engine.
func QueueWait(workspace, class string, d time.Duration) {
	observe("vanillalug_queue_wait_seconds", workspace, class, d)
}

// CountResponse counts a response by workspace, HTTP status and run state.
func CountResponse(workspace string, status int, runState string) {
	name := fmt.Sprintf(`vanillalug_answers_total{workspace=%q,status="%d",run_state=%q}`, workspace, status, runState)
	metrics.GetOrCreateCounter(name).Inc()
}

// Count increments the counter of a name with one label.
func Count(name, label, value string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vanillalug_%s_total{%s=%q}`, name, label, value)).Inc()
}

// CountBy increments the counter of a name with pairs of labels and values.
func CountBy(name string, labels ...string) {
	metrics.GetOrCreateCounter(labelled("vanillalug_"+name+"_total", labels)).Inc()
}

// ObserveBy records a duration in the histogram of a name with pairs of labels
// and values.
func ObserveBy(name string, d time.Duration, labels ...string) {
	metrics.GetOrCreateHistogram(labelled("vanillalug_"+name+"_seconds", labels)).Update(d.Seconds())
}

func labelled(name string, labels []string) string {
	var b strings.Builder
	b.WriteString(name)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(separator + labels[i] + "=" + strconv.Quote(labels[i+1]))
		separator = ","
	}
	if separator == "," {
		b.WriteString("}")
	}
	return b.String()
}

// Add adds to a counter without labels.
func Add(name string, n int) {
	metrics.GetOrCreateCounter("vanillalug_" + name + "_total").Add(n)
}

// Gauge registers a function that returns a value when metrics are written.
func Gauge(name string, read func() float64) {
	metrics.GetOrCreateGauge("vanillalug_"+name, read)
}

// Set sets the gauge of a name with pairs of labels and values.
func Set(name string, value float64, labels ...string) {
	metrics.GetOrCreateGauge(labelled("vanillalug_"+name, labels), nil).Set(value)
}

// Write writes all metrics in the Prometheus text format.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }

func observe(name, workspace, class string, d time.Duration) {
	metric := name + `{workspace="` + workspace + `",class="` + class + `"}`
	metrics.GetOrCreateHistogram(metric).Update(d.Seconds())
}
