package vanillalug

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Canonical returns the document with every value written out, in a fixed
// order, so that equal fleets have equal bytes. ReadFleet parses it.
func (f *Fleet) Canonical() []byte {
	w := &canonicalWriter{}
	w.section("fleet", "")
	w.key("name", f.name)
	w.key("rules-level", strconv.Itoa(f.rulesLevel))
	w.key("bound", strconv.FormatFloat(f.loadBound, 'g', -1, 64))
	w.key("bound-floor", strconv.Itoa(f.loadBoundFloor))
	w.key("retry-share", strconv.FormatFloat(f.retryRatio, 'g', -1, 64))
	for _, p := range f.Places() {
		w.section("place", p.name)
		w.key("region", p.region)
		if p.evacuated {
			// Left out otherwise, so that the digest of documents without the key is the
			// same at older builds, which don't know it.
			w.key("evacuated", yesNo(p.evacuated))
		}
	}
	for _, c := range f.Classes() {
		w.class(c)
	}
	for _, s := range f.Services() {
		w.service(s)
	}
	for _, e := range f.Engines() {
		w.engine(e)
	}
	for _, t := range f.Targets() {
		w.target(t)
	}
	for _, ws := range f.Workspaces() {
		w.workspace(ws)
	}
	return w.buf.Bytes()
}

type canonicalWriter struct {
	buf bytes.Buffer
}

func (w *canonicalWriter) section(kind, name string) {
	if w.buf.Len() > 0 {
		w.buf.WriteByte('\n')
	}
	fmt.Fprintf(&w.buf, "[%s]\n", strings.TrimSpace(kind+" "+name))
}

func (w *canonicalWriter) key(key, value string) {
	if value != "" {
		fmt.Fprintf(&w.buf, "%s = %s\n", key, value)
	}
}

func (w *canonicalWriter) class(c Class) {
	w.section("class", c.name)
	w.key("priority", strconv.Itoa(c.priority))
	w.key("weight", strconv.Itoa(c.weight))
	w.key("queue-limit", strconv.Itoa(c.queueLimit))
	w.key("queue-deadline", c.queueDeadline.String())
	w.key("patience", c.localityWait.String())
}

func (w *canonicalWriter) service(s Service) {
	w.section("service", s.name)
	w.key("deadline", s.deadline.String())
	w.key("outcomes", s.outcomePath)
	for _, c := range s.calls {
		w.section("call", c.name)
		w.key("service", c.service)
		w.key("method", c.method)
		w.key("path", c.path)
		w.key("repeatable", yesNo(c.retryable))
	}
}

func (w *canonicalWriter) engine(e Engine) {
	w.section("engine", e.name)
	w.key("place", e.place)
	w.key("address", e.address)
	w.key("models", strings.Join(e.models, ", "))
	w.key("slots", strconv.Itoa(e.slots))
	w.key("prefill-rate", strconv.Itoa(e.prefillRate))
	w.key("fenced", yesNo(e.fenced))
	w.key("state", stateValue(e.leaving))
}

func (w *canonicalWriter) target(t Target) {
	w.section("target", t.name)
	w.key("service", t.service)
	w.key("place", t.place)
	w.key("address", t.address)
	w.key("state", stateValue(t.leaving))
}

func (w *canonicalWriter) workspace(ws Workspace) {
	w.section("workspace", ws.name)
	w.key("key-sha256", ws.keyDigest)
	w.key("share", strconv.Itoa(ws.weight))
	w.key("class", ws.class)
	w.key("open-limit", strconv.Itoa(ws.inFlightLimit))
	w.key("models", strings.Join(ws.models, ", "))
	w.key("services", strings.Join(ws.services, ", "))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func stateValue(leaving bool) string {
	if leaving {
		return stateLeaving
	}
	return stateLive
}
