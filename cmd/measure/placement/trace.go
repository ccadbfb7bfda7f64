package placement

import (
	"math/rand/v2"
	"time"
)

// arrival is one request of the trace. Its prompt and answer are in tokens; the
// prompt is the whole conversation.
type arrival struct {
	at        time.Duration
	chat      uint64
	workspace int
	turn      int
	router    int
	prompt    int
	answer    int
	work      float64
}

// trace generates the arrivals of a deployment in order of time. The trace does
// not depend on the policy.
func trace(d Deployment, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	var out []arrival
	for now := time.Duration(0); now < runLength; {
		ws, factor := pickWorkspace(d, random, now)
		gap := random.ExpFloat64() / (d.rate * (1 - d.returningShare) * factor)
		now += time.Duration(gap * float64(time.Second))
		out = append(out, conversation(d, random, now, ws)...)
	}
	sortArrivals(out)
	return out
}

// conversation returns the turns of a new chat.
func conversation(d Deployment, random *rand.Rand, at time.Duration, ws int) []arrival {
	chat := random.Uint64()
	prompt := int(float64(d.openingTokens) * (0.5 + random.Float64()))
	var out []arrival
	for turn := 0; at < runLength; turn++ {
		answer := int(float64(d.answerTokens) * (0.5 + random.Float64()))
		out = append(out, arrival{
			at: at, chat: chat, workspace: ws, turn: turn, router: random.IntN(d.routers),
			prompt: prompt, answer: answer, work: random.Float64(),
		})
		if random.Float64() >= d.returningShare {
			break
		}
		prompt += answer + int(float64(d.turnTokens)*(0.5+random.Float64()))
		at += time.Duration(answer)*d.tokenInterval + time.Duration((0.1+random.ExpFloat64())*float64(d.meanPause))
	}
	return out
}

// pickWorkspace returns the workspace of the next new chat, and the current
// rate as a multiple of the base rate.
func pickWorkspace(d Deployment, random *rand.Rand, now time.Duration) (int, float64) {
	weight := func(i int) float64 {
		if i == d.surgingWorkspace && now >= surgeFrom && now < surgeTo {
			return d.workspaceWeights[i] * surgeFactor
		}
		return d.workspaceWeights[i]
	}
	base, total := 0.0, 0.0
	for i, w := range d.workspaceWeights {
		base += w
		total += weight(i)
	}
	x := random.Float64() * total
	for i := range d.workspaceWeights {
		if x -= weight(i); x < 0 {
			return i, total / base
		}
	}
	return 0, total / base
}
