package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the highest resident memory of a process so far, in bytes.
func PeakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, fmt.Errorf("PeakMemory: process %d has ended", pid)
	}
	kib, err := strconv.Atoi(fields[0])
	return kib << 10, err
}

// OpenDescriptors returns the number of descriptors that a process has open, 0 if it has ended.
func OpenDescriptors(pid int) int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open)
}
