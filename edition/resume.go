package edition

import (
	"slices"
	"time"
)

// Answer is what one router knows of a stream that a caller goes on with.
type Answer struct {
	// Known says that the router has the record of it, with Origin.
	Known  bool
	Origin Origin
	// Ambiguous says that it has contradictory ones.
	Ambiguous bool
	// Versions are those that the service's targets had lately.
	Versions []string
	// Complete says that Versions go back far enough to have each with which the stream may have
	// begun.
	Complete bool
	// Read says that the router has read the registry itself for this answer.
	Read bool
	// Stored says that it is what the store has from before, and nothing of the present.
	Stored bool
}

// NewAnswer returns what a router knows of a stream of a service.
func NewAnswer(records *Records, history *History, key StreamKey, service string, now time.Time) Answer {
	found, ok := records.find(key, now)
	return Answer{
		Known: ok && !found.ambiguous, Origin: found.origin, Ambiguous: found.ambiguous,
		Versions: history.versions(service, now), Complete: history.complete(now), Read: history.read(now),
	}
}

// Decision is the result of Decide.
type Decision interface{ decision() }

// GoOn lets the stream go on at targets of its origin.
type GoOn struct {
	Origin Origin
	// Recorded says that a record tells it; otherwise all targets have had one version.
	Recorded bool
}

// Unknown rejects the request, as nobody can tell where the stream began.
type Unknown struct{ Reason string }

func (GoOn) decision()    {}
func (Unknown) decision() {}

// Decide judges what this router and its peers know of a stream of a service. peers are the
// answers that came, which may be none. Whether the caller named the attempt that began the
// stream makes no difference: routers that have just started have not seen every version.
func Decide(service string, own Answer, peers []Answer) Decision {
	answers := append([]Answer{own}, peers...)
	if slices.ContainsFunc(answers, func(a Answer) bool { return a.Ambiguous }) {
		return Unknown{Reason: "contradictory records"}
	}
	recorded := slices.DeleteFunc(slices.Clone(answers), func(a Answer) bool { return !a.Known })
	if len(recorded) > 0 {
		if slices.ContainsFunc(recorded, func(a Answer) bool { return a.Origin != recorded[0].Origin }) {
			return Unknown{Reason: "contradictory records"}
		}
		return GoOn{Origin: recorded[0].Origin, Recorded: true}
	}
	if !slices.ContainsFunc(answers, func(a Answer) bool { return a.Complete }) {
		return Unknown{Reason: "no record, and no router has known the targets for long"}
	}
	version, only := onlyVersion(answers)
	if !only {
		return Unknown{Reason: "no record, and several software versions"}
	}
	if !current(own, peers) {
		return Unknown{Reason: "no record, and the registry may have changed"}
	}
	return GoOn{Origin: Origin{Service: service, SoftwareVersion: version}}
}

// current reports whether what the answers have is that of the present: a peer is in touch with the
// registry, or this router has read it just now. Its own word isn't enough: a router that is cut off
// doesn't know it at once.
func current(own Answer, peers []Answer) bool {
	return own.Read || slices.ContainsFunc(peers, func(a Answer) bool { return a.Complete && !a.Stored })
}

// NeedsRead reports whether the decision may depend on versions that this router hasn't heard of,
// so that it should read the registry.
func NeedsRead(own Answer, peers []Answer) bool {
	knows := func(a Answer) bool { return a.Known || a.Ambiguous }
	_, only := onlyVersion(append([]Answer{own}, peers...))
	return only && !current(own, peers) && !knows(own) && !slices.ContainsFunc(peers, knows)
}

// onlyVersion returns the version that all targets have had.
func onlyVersion(answers []Answer) (version string, only bool) {
	var all []string
	for _, a := range answers {
		all = append(all, a.Versions...)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	if len(all) != 1 || all[0] == "" {
		return "", false
	}
	return all[0], true
}
