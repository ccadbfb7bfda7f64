package fleet

import (
	"fmt"
	"time"

	"vanillalug.example/lugtest/crowdtest"
)

const (
	// memoryMB and descriptorLimit are those of the routers' VMs: the smallest memory of the first
	// deployment, and few descriptors.
	memoryMB        = 136
	descriptorLimit = 1024
	// memoryBound is the memory of the VM, and descriptorBound what its descriptors leave for targets,
	// peers and the store: an eighth.
	memoryBound     = memoryMB << 20
	descriptorBound = descriptorLimit * 7 / 8
)

// usage is the most that a process of a router used.
type usage struct {
	memory      int
	descriptors int
}

// WatchUsage reads what the router processes use until stop is closed, and returns the violations.
func (h *Harness) WatchUsage(stop <-chan struct{}) []string {
	highest := make([]usage, len(h.Routers))
	for {
		select {
		case <-stop:
			return h.checkUsage(highest)
		case <-time.After(pollInterval):
		}
		for i, r := range h.Routers {
			if pid, ok := r.PID(); ok {
				highest[i] = highest[i].orMore(pid)
			}
		}
	}
}

// orMore returns the usage, or that of a process where it is higher. A process that has just ended
// uses nothing.
func (u usage) orMore(pid int) usage {
	if memory, err := crowdtest.PeakMemory(pid); err == nil {
		u.memory = max(u.memory, memory)
	}
	u.descriptors = max(u.descriptors, crowdtest.OpenDescriptors(pid))
	return u
}

func (h *Harness) checkUsage(highest []usage) []string {
	var violations []string
	for i, u := range highest {
		if u.memory > memoryBound {
			violations = append(violations, fmt.Sprintf("%s had %d MiB resident, of %d", h.Routers[i].Name, u.memory>>20, memoryMB))
		}
		if u.descriptors > descriptorBound {
			violations = append(violations, fmt.Sprintf("%s had %d descriptors open, of %d", h.Routers[i].Name, u.descriptors, descriptorBound))
		}
	}
	return violations
}
