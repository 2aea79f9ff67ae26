package overhead

// Memory and processor time of an agent's process, and processor time of the machine.

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	ResidentMB float64       // MiB
	CPU        time.Duration // processor time since the start of the process, only of threads that still exist
}

// Usage reads the agent's current usage from /proc. It returns an error if the agent has ended.
func (p *AgentProcess) Usage() (usage Usage, err error) {
	proc := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	status, err := os.ReadFile(proc + "/status")
	if err != nil {
		return usage, fmt.Errorf("reading the agent's usage: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the kernel writes numbers
			usage.ResidentMB = kb / 1024
		}
	}
	threads, err := filepath.Glob(proc + "/task/*/schedstat")
	if err != nil {
		return usage, err
	}
	for _, file := range threads {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		if f := strings.Fields(string(text)); len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64) // the kernel writes numbers
			usage.CPU += time.Duration(ns)
		}
	}
	return usage, nil
}

// StolenTime reads from /proc/stat the processor time of all cores since the system's start, and the part of it that the
// machine's host gave to other machines, both in clock ticks.
func StolenTime() (stolen, total float64, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, f := range strings.Fields(line) {
		n, _ := strconv.ParseFloat(f, 64) // the first field is the line's name and counts as 0
		if total += n; i == 8 {
			stolen = n
		}
	}
	return stolen, total, nil
}
