package enginetest

import "time"

// The kinds of requests of HardDeployment, by urgency and size.
const (
	UrgentChat   = "urgent chat"
	UrgentLong   = "urgent long"
	PlainLong    = "long"
	PlainShort   = "short"
	LongAnswer   = "long answer"
	hardMemory   = 519677
	hintSpread   = 0.8
	lengthSpread = 0.4
)

// HardDeployment has requests that need little and much memory, in both of two priority ranks, of
// six workspaces. At its usual load nothing is short.
func HardDeployment() Deployment {
	return Deployment{
		Routers: 18, Engines: 6, Slots: 64, Queue: 192,
		Step: 3790 * time.Microsecond, StepPerSlot: 89300 * time.Nanosecond,
		PrefillRate: 56, CopyRate: 1220, Workspaces: 6, Retries: 4,
		Memory: Memory{Tokens: hardMemory, LengthSpread: lengthSpread, HintSpread: hintSpread},
		Classes: []Class{
			hardClass(UrgentChat, 0, 20, 700, 300, 30, 290),
			hardClass(UrgentLong, 0, 8, 9000, 1000, 240, 400),
			hardClass(PlainLong, 1, 12, 9000, 1000, 240, 400),
			hardClass(PlainShort, 1, 20, 2000, 360, 30, 25),
			hardClass(LongAnswer, 1, 4, 700, 300, 30, 1200),
		},
	}
}

func hardClass(name string, rank int, rate float64, shared, own, prompts, output int) Class {
	c := Class{
		Name: name, Rate: rate, SharedTokens: shared, OwnTokens: own, SharedPrompts: prompts, OutputTokens: output, Rank: rank,
		FirstTokenGoal: time.Second, FirstTokenTimeout: 4800 * time.Millisecond, Timeout: 15 * time.Second,
	}
	switch name {
	case PlainShort:
		c.FirstTokenGoal, c.FirstTokenTimeout, c.Timeout = 1500*time.Millisecond, 3*time.Second, 3*time.Second
	case LongAnswer:
		c.Timeout = 30 * time.Second
	}
	return c
}

// WithLoad returns the deployment with the rate of one class, or of all if it is "", multiplied.
func (d Deployment) WithLoad(class string, factor float64) Deployment {
	out := d
	out.Classes = make([]Class, len(d.Classes))
	copy(out.Classes, d.Classes)
	for i := range out.Classes {
		if class == "" || out.Classes[i].Name == class {
			out.Classes[i].Rate *= factor
		}
	}
	return out
}

// LargeHardDeployment has 131 routers whose loads of peers are up to 2 s old, and 60 engines.
func LargeHardDeployment() Deployment {
	d := HardDeployment().WithLoad("", 10)
	d.Routers, d.Engines, d.ShareGroups = 131, 60, 10
	for i := range d.Classes {
		d.Classes[i].SharedPrompts *= 10
	}
	return d
}

// LongPromptDeployment has mostly long prompts that share little, at engines that read them fast, so
// that memory is short first.
func LongPromptDeployment() Deployment {
	const fastPrefill = 400
	d := HardDeployment().WithLoad("", 0.3).WithLoad(UrgentLong, 14).WithLoad(PlainLong, 14)
	d.PrefillRate = fastPrefill
	for i, c := range d.Classes {
		if c.Name == UrgentLong || c.Name == PlainLong {
			d.Classes[i].SharedTokens, d.Classes[i].OwnTokens = c.OwnTokens, c.SharedTokens
		}
	}
	return d
}
