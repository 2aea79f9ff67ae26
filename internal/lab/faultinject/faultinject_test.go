package faultinject

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A program that Build has built fails the system calls that its plan names, and no others.
func TestPlannedFailureIsInjected(t *testing.T) {
	dir := t.TempDir()
	program, err := Build(t.Context(), "../../..", "./cmd/agent", dir)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	control := &Control{Path: filepath.Join(dir, "INJECT.json")}
	for _, plan := range []struct {
		failures []Failure
		want     string
	}{
		{nil, "seed"}, // the empty configuration is rejected for its seed
		{[]Failure{{Call: Open, Errno: syscall.ENOTDIR, Path: "config.json"}}, "not a directory"},
		{[]Failure{{Call: Open, Errno: syscall.ENOTDIR, Path: "another.json"}}, "seed"},
	} {
		if err := control.Write(Plan{Failures: plan.failures}); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, ControlVariable+"="+control.Path)
		log := &bytes.Buffer{}
		cmd.Stderr = log
		if err := cmd.Run(); err == nil || !strings.Contains(log.String(), plan.want) {
			t.Errorf("plan %v: error %v, log %q, want a failed start with the expected text in the log", plan.failures, err, log)
		}
	}
}
