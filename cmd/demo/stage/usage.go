package stage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of CPU time in /proc (USER_HZ).
const ticksPerSecond = 100

// Usage has the resource usage of a process.
type Usage struct {
	// CPU is the user and system CPU time so far.
	CPU time.Duration
	// Memory is the current resident set size in bytes.
	Memory int
}

// Usage reads the resource usage of the process.
func (p *Process) Usage() (Usage, error) { return ReadUsage(p.cmd.Process.Pid) }

// ReadUsage reads the resource usage of a process by its id, from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("ReadUsage: %w", err)
	}
	// The name in brackets, field 2, may contain spaces. Fields 14 and 15, utime
	// and stime, are at 11 and 12 after it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return Usage{}, fmt.Errorf("ReadUsage: %w", err)
		}
		ticks += n
	}
	memory, err := residentMemory(pid)
	return Usage{CPU: time.Duration(ticks) * time.Second / ticksPerSecond, Memory: memory}, err
}

func residentMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("residentMemory: %w", err)
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.Atoi(strings.Fields(text)[0])
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("residentMemory: no VmRSS for process %d", pid)
}
