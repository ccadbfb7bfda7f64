package fleet

import (
	"fmt"
	"slices"

	"vanillalug.example/platform/platformtest"
)

// streamRun is one run of a stream.
type streamRun struct {
	platformtest.Execution
	software string
}

// checkSoftwareVersions returns the streams that went on at another software version than the one
// that began them, within one response or over a caller's calls.
func checkSoftwareVersions(targets []*platformtest.Target) []string {
	began := map[string]string{}
	var goingOn []streamRun
	for _, run := range runsInOrder(targets) {
		if run.LastEvent() == "" {
			// A later run without an id of an event begins the stream anew.
			began[run.ID] = run.software
			continue
		}
		goingOn = append(goingOn, run)
	}
	var violations []string
	for _, run := range goingOn {
		first := run.ID
		if resumes := run.Resumes(); resumes != "" {
			first = resumes
		}
		if began[first] != run.software {
			violations = append(violations, fmt.Sprintf("%s goes on at software %s after event %s; %s began it",
				run.ID, run.software, run.LastEvent(), began[first]))
		}
	}
	return violations
}

// runsInOrder returns the runs at all targets in order of time.
func runsInOrder(targets []*platformtest.Target) []streamRun {
	var out []streamRun
	for _, t := range targets {
		for _, e := range t.Executions() {
			out = append(out, streamRun{Execution: e, software: t.SoftwareVersion})
		}
	}
	slices.SortFunc(out, func(a, b streamRun) int { return a.At.Compare(b.At) })
	return out
}
