package fitting

import "time"

// serviceTimeAt returns the time that a request is expected to spend at a target: what was observed
// of plain requests there, and otherwise the mean of the service at a target that is as slow.
func (q Request) serviceTimeAt(c Candidate) time.Duration {
	if known := c.Estimate.Served(); known > 0 && q.ServiceTime > 0 {
		return known
	}
	return time.Duration(float64(q.ServiceTime) * c.Estimate.Slowness())
}
