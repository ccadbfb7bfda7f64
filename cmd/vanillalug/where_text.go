package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"vanillalug.example/where"
)

const none = "-"

// printAnswer prints where a request would go.
func printAnswer(out io.Writer, a where.Answer) {
	printMatch(out, a)
	if a.Room != nil {
		printRoom(out, *a.Room)
	}
	printTargets(out, a.Targets)
	printLeftOut(out, a.LeftOut)
	if a.Unlisted > 0 {
		fmt.Fprintf(out, "%d more targets are not listed\n", a.Unlisted)
	}
	fmt.Fprintln(out)
	printDecision(out, a.Decision)
}

func printMatch(out io.Writer, a where.Answer) {
	m := a.Match
	fmt.Fprintf(out, "%s %s%s at router %s in %s, %s, routing table %d\n", m.Method, m.Host, m.Path, a.Router, a.Place, a.At.Format(time.RFC3339Nano), m.TableVersion)
	fmt.Fprintf(out, "route %s (%s), service %s, workspace %s, priority %d\n", orNone(m.Route), orNone(m.Kind), orNone(m.Service), orNone(m.Workspace), m.Priority)
	if len(m.Split) > 0 {
		var parts []string
		for _, w := range m.Split {
			parts = append(parts, fmt.Sprintf("%s (weight %d)", w.Service, w.Weight))
		}
		fmt.Fprintf(out, "the attempt id decides among %s\n", strings.Join(parts, ", "))
	}
	if m.TimeoutMS > 0 {
		fmt.Fprintf(out, "timeout %s, objective %s\n", ofMS(m.TimeoutMS), ofMS(m.ObjectiveMS))
	}
	if m.PromptTokens > 0 {
		fmt.Fprintf(out, "prompt of %d tokens, longest shared part %d (key %s), %d output tokens expected\n",
			m.PromptTokens, m.SharedTokens, orNone(m.Prompt), m.ExpectedOutput)
	}
	if m.Software != "" {
		fmt.Fprintf(out, "the stream began at software version %s\n", m.Software)
	}
}

func printRoom(out io.Writer, r where.Room) {
	fmt.Fprintf(out, "%d requests at the candidates, mean service time %s, may wait %s\n", r.Requests, orUnknown(r.ServiceTimeMS), floatMS(r.MaxWaitMS))
	if r.Slots > 0 {
		fmt.Fprintf(out, "engines with %d slots and %d tokens; needs %d tokens, a thousand prompt tokens take %s\n",
			r.Slots, r.KVCapacity, r.KVTokens, orUnknown(r.PrefillMS))
	}
	if r.RefusingMS > 0 {
		fmt.Fprintf(out, "requests have been refused for %s; the workspace uses %.1f times its fair share\n", ofMS(r.RefusingMS), r.Overuse)
	}
}

func printTargets(out io.Writer, targets []where.Target) {
	if len(targets) == 0 {
		return
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tTARGET\tADDRESS\tPLACE\tLOAD\tOWN\tPREFILL\tKV\tCACHED\tSLOWNESS\tAGE\tSLOT WAIT\tPREFILL WAIT\tCHANCE\tCOST\tNOTES")
	for _, t := range targets {
		slowness, age := estimateText(t.Estimate)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mark(t.Chosen), t.Target, t.Address, t.Place,
			t.Requests, t.Slots, t.OwnRequests, t.PrefillTokens, t.KVTokens, yesNo(t.Cached), slowness, age,
			floatMS(t.SlotWaitMS), floatMS(t.PrefillWaitMS), probabilityText(t.Probability), costText(t.CostMS), orNone(notes(t)))
	}
	_ = w.Flush()
}

// notes returns what is special about a target, and why it was left out.
func notes(t where.Target) string {
	var out []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(t.Excluded != "", "%s", t.Excluded)
	add(t.Drawn, "drawn")
	add(t.Suspect && t.FailsForMany, "fails for many routers")
	add(t.Suspect && !t.FailsForMany, "failed here lately")
	add(t.PausedMS > 0, "wants nothing for %s", ofMS(t.PausedMS))
	add(t.LackingTokens > 0, "lacks %d tokens", t.LackingTokens)
	add(t.Estimate != nil && t.Estimate.NoRoom, "had no room lately")
	if p := t.Permit; p != nil {
		add(p.ColdMS > 0, "cold for %s (%s), %g a second", ofMS(p.ColdMS), p.ColdSource, p.ColdPerSecond)
		add(p.PerSecond > 0, "takes %g a second", p.PerSecond)
		add(p.Brittle, "brittle")
		add(true, "permits from %s", p.Issuer)
		add(p.AskInMS > 0, "none for %s", ofMS(p.AskInMS))
	}
	return strings.Join(out, ", ")
}

func printLeftOut(out io.Writer, targets []where.LeftOut) {
	if len(targets) == 0 {
		return
	}
	fmt.Fprintln(out, "\nLeft out:")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tTARGET\tADDRESS\tPLACE\tSOFTWARE\tREASON")
	for _, t := range targets {
		fmt.Fprintf(w, "\t%s\t%s\t%s\t%s\t%s\n", t.Target, t.Address, t.Place, orNone(t.Software), t.Reason)
	}
	_ = w.Flush()
}

func printDecision(out io.Writer, d where.Decision) {
	switch d.Outcome {
	case where.ToTarget:
		fmt.Fprintf(out, "would go to %s at %s: %s\n", d.Target, d.Address, d.Rule)
	case where.ToPeer:
		fmt.Fprintf(out, "would go through router %s at %s: %s\n", d.Target, d.Address, d.Rule)
	case where.Refused:
		fmt.Fprintf(out, "would be refused with %d: %s\n", d.Status, d.Rule)
	case where.Unknown:
		fmt.Fprintf(out, "unknown: %s\n", d.Rule)
	default:
		fmt.Fprintf(out, "%s: %s\n", d.Outcome, d.Rule)
	}
	for _, line := range decisionDetails(d) {
		fmt.Fprintln(out, "  "+line)
	}
}

func decisionDetails(d where.Decision) []string {
	var out []string
	add := func(condition bool, format string, args ...any) {
		if condition {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(d.Draw, "a draw, with the number %s: the next request may go elsewhere", d.Random)
	add(d.OnlySuspects, "only suspect targets are left")
	add(d.CopyFrom != "", "may copy the prompt from %s", d.CopyFrom)
	add(d.NeedsPermit, "needs a permit, for which it may wait %s; without one another target is chosen", floatMS(d.PermitWaitMS))
	add(d.Shortage != "", "shortage: %s", d.Shortage)
	add(d.RetryAfter != "", "Retry-After: %s", d.RetryAfter)
	add(d.Detail != "", "detail: %s", d.Detail)
	return out
}

func estimateText(e *where.Estimate) (slowness, age string) {
	if e == nil {
		return none, none
	}
	slowness, age = strconv.FormatFloat(e.Slowness, 'f', 2, 64), none
	if e.AgeMS != nil {
		age = ofMS(*e.AgeMS).String()
	}
	return slowness, age
}

func probabilityText(p float64) string {
	if p == 0 {
		return none
	}
	return strconv.FormatFloat(100*p, 'f', 1, 64) + "%"
}

func costText(ms float64) string {
	if ms == 0 {
		return none
	}
	return floatMS(ms).String()
}

func mark(chosen bool) string {
	if chosen {
		return ">"
	}
	return ""
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orNone(s string) string {
	if s == "" {
		return none
	}
	return s
}

func orUnknown(ms float64) string {
	if ms == 0 {
		return "unknown"
	}
	return floatMS(ms).String()
}

func ofMS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func floatMS(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond)
}
