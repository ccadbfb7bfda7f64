package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the maximum length of a line in bytes. A longer one is an error.
const maxLogLine = 1 << 20

// The messages of a router's log that summarize uses.
const (
	messageAttempt = "attempt"
	messageRequest = "request"
)

// logLine is one line of a router's log.
type logLine struct {
	At      time.Time      `json:"at"`
	Router  string         `json:"router"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// readLog reads the JSON lines of a log and skips other lines.
func readLog(in io.Reader) ([]logLine, error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	var out []logLine
	for s.Scan() {
		if l, ok := readLogLine(s.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, s.Err()
}

func readLogLine(raw []byte) (logLine, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return logLine{}, false
	}
	l := logLine{}
	if err := json.Unmarshal(raw[start:], &l.Fields); err != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339, l.field("@timestamp"))
	if err != nil && l.field("@message") != messageLeftOut {
		return logLine{}, false
	}
	l.At = at
	l.Router = l.field("router")
	l.Message = l.field("@message")
	for _, name := range []string{"@timestamp", "@message", "@module", "@level", "router"} {
		delete(l.Fields, name)
	}
	return l, true
}

// field returns the field formatted as text, or "" if it is not set.
func (l logLine) field(name string) string {
	v, ok := l.Fields[name]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// text returns the line in readable form, without fields whose value is the
// request id.
func (l logLine) text(id string) string {
	names := make([]string, 0, len(l.Fields))
	for name, v := range l.Fields {
		if v != nil && v != "" && fmt.Sprint(v) != id {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.Router, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// stateChange reports whether the line is about the state of a router or of a target;
// its request, if it has one, is the one at which the router noticed it.
func (l logLine) stateChange() bool {
	return l.Message != messageAttempt && l.Message != messageRequest
}

// selectLines returns the lines about the request, in time order, with those of
// the same routers from "before" its first line to its last on changes of state: of its
// targets, of every target of its service if it had none, and of the router.
func selectLines(id string, lines []logLine, before time.Duration) []logLine {
	var first, last time.Time
	routers, targets, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.field("request") != id {
			continue
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		routers[l.Router] = true
		targets[l.field("target")] = true
		if l.field("target") == "" && l.field("service") != "" {
			services[l.field("service")] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		ofRequest := l.field("request") == id
		inWindow := routers[l.Router] && !l.At.Before(first.Add(-before)) && !l.At.After(last)
		concerned := l.field("target") == "" || targets[l.field("target")] || services[l.field("service")]
		if ofRequest || inWindow && l.stateChange() && concerned {
			out = append(out, l)
		}
	}
	if len(routers) == 0 {
		return nil
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.At.Compare(b.At) })
	return out
}

// summarize returns a sentence that says how the request ended.
func summarize(id string, lines []logLine) string {
	var end logLine
	attempts := 0
	for _, l := range lines {
		if l.field("request") != id {
			continue
		}
		if l.Message == messageAttempt {
			attempts++
		}
		if l.Message == messageRequest {
			end = l
		}
	}
	if end.Message == "" {
		return fmt.Sprintf("No line says how %s ended: it is still in progress, or its router ended.", id)
	}
	ran := "no target has run it"
	if end.field("ran") == "true" {
		ran = "a target may have run it"
	}
	return fmt.Sprintf("%s ended at %s with status %s (%s) after %s ms, %d sends failed before; %s. Version %s, last target %q. %s",
		id, end.Router, end.field("status"), end.field("outcome"), end.field("ms"), attempts, ran,
		end.field("version"), end.field("target"), strings.TrimSpace(end.field("detail")+" "+end.field("error")))
}
