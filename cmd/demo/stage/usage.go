package stage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	// CPU is the processor time of the process.
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int
}

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) { return ReadUsage(p.cmd.Process.Pid) }

// ReadUsage reads what the process of an id has used.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("ReadUsage: %w", err)
	}
	// The fields after the name in brackets start with the third one.
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
