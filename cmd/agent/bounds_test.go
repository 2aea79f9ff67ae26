package main

// The addresses and files that a running agent uses.

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"martenbeam/internal/lab/faultinject"
)

// openFiles returns the targets of a process's descriptors. The value is true if a descriptor is open for writing.
func openFiles(t *testing.T, pid int) (files map[string]bool) {
	t.Helper()
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		t.Fatal(err)
	}
	files = map[string]bool{}
	for _, link := range links {
		name, err := os.Readlink(link)
		if err != nil {
			continue // closed since the listing
		}
		info, err := os.ReadFile(strings.Replace(link, "/fd/", "/fdinfo/", 1))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(info)) {
			if text, ok := strings.CutPrefix(line, "flags:"); ok {
				flags, err := strconv.ParseInt(strings.TrimSpace(text), 8, 64)
				files[name] = files[name] || err != nil || flags&syscall.O_ACCMODE != syscall.O_RDONLY
			}
		}
	}
	return files
}

// listeners returns the listening addresses in a kernel socket table whose sockets are among the open files.
func listeners(t *testing.T, table string, files map[string]bool) (addrs []string) {
	t.Helper()
	const state, listening, inode = 3, "0A", 9 // state and inode are columns; listening is the state of a listener
	f, err := os.Open(table)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || fields[state] != listening {
			continue
		}
		if _, own := files["socket:["+fields[inode]+"]"]; !own {
			continue
		}
		ip, port, _ := strings.Cut(fields[1], ":")
		n, err := strconv.ParseUint(port, 16, 16)
		if err != nil || len(ip) != 8 {
			t.Errorf("the agent listens at %s, which is not an IPv4 address", fields[1])
			continue
		}
		var b [4]byte
		for i := range b { // the table has the address in the byte order of the machine
			x, err := strconv.ParseUint(ip[6-2*i:8-2*i], 16, 8)
			if err != nil {
				t.Fatal(err)
			}
			b[i] = byte(x)
		}
		addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4(b), uint16(n)).String())
	}
	return addrs
}

// The agent listens only at its configured addresses, starts no processes, and has no files open for writing except its log,
// files in its scratch folder and devices.
func TestAgentListensAndWritesOnlyWhereConfigured(t *testing.T) {
	d := startAgent(t, newFakeDiscovery(t, readyEndpoint("s", newFakeBackend(t))).addr, faultinject.Plan{}, nil, "")
	awaitReady(t, d.addr)
	for range 20 {
		if status, err := get(singleUseClient, d.addr, "/get/x"); status != 200 {
			t.Fatalf("status %d, error %v, want 200", status, err)
		}
	}
	d.awaitAdminOK(t, testTimeout, "/_ready", "")
	pid := d.cmd.Process.Pid
	files := openFiles(t, pid)
	got := listeners(t, fmt.Sprintf("/proc/%d/net/tcp", pid), files)
	got = append(got, listeners(t, fmt.Sprintf("/proc/%d/net/tcp6", pid), files)...)
	want := []string{d.addr, d.adminAddr}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("the agent listens at %v, want %v", got, want)
	}
	scratchDir := filepath.Dir(d.configPath)
	for name, writable := range files {
		if writable && strings.HasPrefix(name, "/") && !strings.HasPrefix(name, scratchDir) && !strings.HasPrefix(name, "/dev/") {
			t.Errorf("the agent has %s open for writing", name)
		}
	}
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	if err != nil || len(children) > 0 {
		t.Errorf("child processes %q, want none; %v", children, err)
	}
	d.signal(t, syscall.SIGTERM)
	if err := d.cmd.Wait(); err != nil {
		t.Error(err)
	}
}
