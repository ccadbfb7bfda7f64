package fitting

import "time"

// farAbove is the multiple of the fair share from which requests may wait less. With fair shares
// that free half of the room, workspaces that all send the same are at 2.
const farAbove = 3

// fairWait returns how long the request may wait. While requests are rejected, those of a workspace
// far above its fair share may wait less, so that others get the room that becomes free.
func (q Request) fairWait() time.Duration {
	if q.OverloadedFor <= 0 || q.Overuse <= farAbove {
		return q.maxWait()
	}
	over := q.Overuse / farAbove
	return time.Duration(float64(q.maxWait()) / (over * over))
}

// stepTime is the assumed time of a step in milliseconds, in which an engine generates a token of
// each request.
const stepTime = 8

// Cost returns what the request uses of a service if it is admitted: for an engine the expected
// seconds that it holds a slot, or as much memory as belongs to a slot; 1 for a plain service.
func (q Request) Cost() float64 {
	if q.Slots == 0 {
		return 1
	}
	ms := float64(q.Work.promptTokens)/prefillRate + float64(q.Work.ExpectedOutput())*stepTime
	slots := 1.0
	if q.KVCapacity > 0 {
		slots = max(1, float64(q.Work.KVTokens(true))*float64(q.Slots)/float64(q.KVCapacity))
	}
	return slots * ms / 1000
}
