package gateway

import (
	"math"
	"strconv"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/share"
)

// neededRoom is what a request needs at the target that was chosen for it.
type neededRoom struct {
	// load is what the request adds to the load of the target until it ends.
	load fitting.Load
	// ahead is the load of the target before, slots the number of requests that it runs.
	ahead fitting.Load
	slots int
	// cost is what counts as usage of the workspace.
	cost float64
}

func newNeededRoom(req fitting.Request, chosen fitting.Candidate) neededRoom {
	return neededRoom{
		load:  fitting.NewLoad(1, 0).WithKVTokens(req.Work.KVTokens(chosen.Cached)),
		ahead: chosen.Load, slots: req.Slots, cost: req.Cost(),
	}
}

// occupyRoom counts the first attempt as usage of the workspace, and returns the load until the
// first event.
func (t *transaction) occupyRoom(prefillTokens int) fitting.Load {
	if t.workspace != "" && len(t.tried) == 1 {
		t.g.usage.Record(share.KeyOf(t.workspace), share.KeyOf(t.service), t.room.cost, t.sentAt)
	}
	return t.room.load.Plus(fitting.NewLoad(0, prefillTokens))
}

// overuse returns the usage of the workspace as a multiple of its fair share; 0 if unknown.
func (t *transaction) overuse(now time.Time) float64 {
	if t.workspace == "" {
		return 0
	}
	return t.g.usage.Overuse(share.KeyOf(t.workspace), share.KeyOf(t.service), now)
}

// observePrefill records how long the target took for the prompts up to the first event of a stream, unless the
// request may have waited for a slot, or the target had to read the events of a stream that goes on as well.
func (t *transaction) observePrefill() {
	if t.room.slots == 0 || t.room.ahead.Requests() >= t.room.slots || t.lastEventID != "" {
		return
	}
	tokens := t.room.ahead.PrefillTokens() + t.req.Work().PromptTokens()
	meter.CountBy("prefill_observations", "service", t.service)
	t.g.prefillTimes.Observe(t.service, tokens, t.g.clock.Now().Sub(t.sentAt))
}

// registerPrefillTime makes the metrics have the time that a thousand prompt tokens of a service take.
func (g *Gateway) registerPrefillTime(service string) {
	meter.Gauge("prefill_seconds_per_1000_tokens{service="+strconv.Quote(service)+"}", func() float64 {
		return g.prefillTimes.PerThousand(service).Seconds()
	})
}

// recordRefusal counts a request that is refused for want of room.
func (t *transaction) recordRefusal(shortage fitting.Shortage, now time.Time) {
	t.g.overloads.Rejected(t.service, now)
	meter.CountBy("refusals", "service", t.service, "shortage", shortage.String())
}

// kvTokensToProto encodes the tokens that a load needs; 0 means unknown.
func kvTokensToProto(l fitting.Load) uint32 {
	return uint32(min(max(l.KVTokens(), 0), math.MaxUint32))
}

// usageNewsTime is how long after a refusal peers are told the usage of workspaces. It decides
// nothing without refusals, and would be a third of the bytes of a datagram.
const usageNewsTime = 10 * time.Second

// usageNews returns the usage that peers are told.
func (g *Gateway) usageNews(now time.Time) []share.Usage {
	if !g.overloads.RejectedWithin(usageNewsTime, now) {
		return nil
	}
	return g.usage.Own(now)
}

func usageToProto(usages []share.Usage) []*peer.WorkspaceUsage {
	out := make([]*peer.WorkspaceUsage, 0, len(usages))
	for _, u := range usages {
		out = append(out, &peer.WorkspaceUsage{Workspace: uint64(u.Workspace()), Service: uint64(u.Service()), Cost: float32(u.Cost())})
	}
	return out
}

func usageFromProto(usages []*peer.WorkspaceUsage) []share.Usage {
	out := make([]share.Usage, 0, len(usages))
	for _, u := range usages {
		out = append(out, share.NewUsage(share.Key(u.Workspace), share.Key(u.Service), float64(u.Cost)))
	}
	return out
}
