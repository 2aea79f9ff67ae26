package lab

// The resource usage of processes.

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of one or more processes. RSS, in MB, and FDs are maxima; CPU is a sum, in processor seconds.
type Usage struct {
	RSS  float64 `json:"rss_mb_max"`
	FDs  int     `json:"fds_max"`
	CPU  float64 `json:"cpu_s"`
	base float64 // processor seconds of earlier runs of the process
}

// sample records the resources that processes use, twice a second, and ends the run if an agent exceeds its limits.
func (l *Lab) sample() {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	all := l.allProcesses()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range all {
			l.mu.Lock()
			pid := 0
			if p.cmd != nil && !p.endExpected {
				pid = p.cmd.Process.Pid
			}
			l.mu.Unlock()
			if pid == 0 {
				continue
			}
			rss, fds, cpu, err := usage(pid)
			if err != nil {
				continue // the process has ended
			}
			l.mu.Lock()
			u := &p.usage
			u.RSS, u.FDs, u.CPU = max(u.RSS, rss), max(u.FDs, fds), max(u.CPU, u.base+cpu)
			if limit := l.Scenario.Limits; p.kind == "agent" && (rss > float64(limit.MemoryMB) && limit.MemoryMB > 0 || fds > limit.Sockets) {
				l.crashes = append(l.crashes, fmt.Sprintf("agent %s is over its limits: %.0f of %d MB, %d of %d descriptors",
					p.name, rss, limit.MemoryMB, fds, limit.Sockets))
				l.cancel()
			}
			l.mu.Unlock()
		}
	}
}

// usage reads the resource usage of a process: resident memory in MB, open descriptors and processor seconds.
func usage(pid int) (rss float64, fds int, cpu float64, err error) {
	proc := "/proc/" + strconv.Itoa(pid)
	entries, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return 0, 0, 0, err
	}
	file, err := os.Open(proc + "/status")
	if err != nil {
		return 0, 0, 0, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if f := strings.Fields(lines.Text()); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the kernel writes a number
			rss = kb / 1024
		}
	}
	text, err := os.ReadFile(proc + "/stat")
	if err != nil {
		return 0, 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	const ticksPerSecond = 100 // unit of the processor times in /proc/<pid>/stat on Linux
	if len(f) > 12 {
		user, _ := strconv.ParseFloat(f[11], 64)
		system, _ := strconv.ParseFloat(f[12], 64)
		cpu = (user + system) / ticksPerSecond
	}
	return rss, len(entries), cpu, nil
}
