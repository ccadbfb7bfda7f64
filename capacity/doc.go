// Package capacity estimates how much load each target takes well: how fast an engine reads
// prompts, how much time passes between events of its streams, how long a plain request takes, and
// at which load it had no room. A Table holds an estimate for each incarnation of a target, from
// observations of this router and of its peers. It has no I/O and no clock.
package capacity
