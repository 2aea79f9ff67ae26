package hotrestart

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martenbeam/internal/agent/handover"
)

// TestMain checks that no goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLog = slog.New(slog.DiscardHandler)

// fakeProcess records what a Coordinator changes in its process.
type fakeProcess struct {
	sharesListener, halved, lameDuck bool
	overrides                        []string // backends, in order
}

func (p *fakeProcess) ShareListener(on bool) { p.sharesListener = on }
func (p *fakeProcess) HalveLimits(on bool)   { p.halved = on }
func (p *fakeProcess) LameDuck() bool        { return p.lameDuck }
func (p *fakeProcess) SetLameDuck(on bool)   { p.lameDuck = on }
func (p *fakeProcess) ApplyOverride(_ context.Context, override handover.Override) error {
	p.overrides = append(p.overrides, override.Backend)
	return nil
}

func (p *fakeProcess) expect(t *testing.T, when string, sharesListener, halved bool) {
	t.Helper()
	if p.sharesListener != sharesListener || p.halved != halved {
		t.Errorf("%s: shares the listener: %v, half of the limits: %v; want %v, %v", when, p.sharesListener, p.halved,
			sharesListener, halved)
	}
}

// TestLimitsAreHalvedWhileBothProcessesRun: two running processes use half of the limits each; a process that runs alone uses all.
func TestLimitsAreHalvedWhileBothProcessesRun(t *testing.T) {
	dir := t.TempDir()
	var olderProcess, newerProcess fakeProcess
	older := New(t.Context(), dir, discardLog)
	older.ShareLimits(&olderProcess)
	olderProcess.expect(t, "alone", false, false)

	newer := New(t.Context(), dir, discardLog)
	newer.ShareLimits(&newerProcess)
	newerProcess.expect(t, "beside an older process", true, true)
	older.syncAdminCalls(t.Context(), &olderProcess)
	older.adjustLimits(&olderProcess)
	olderProcess.expect(t, "with a successor", false, true)
	newer.adjustLimits(&newerProcess)
	newerProcess.expect(t, "while the older process runs", true, true)

	older.Close()
	newer.adjustLimits(&newerProcess)
	newerProcess.expect(t, "once the older process has ended", false, false)
	newer.Close()
}

// TestLimitsAreRestoredWhenSuccessorExits: a process uses all of its limits again after its successor has exited without taking
// over.
func TestLimitsAreRestoredWhenSuccessorExits(t *testing.T) {
	dir := t.TempDir()
	var process fakeProcess
	older := New(t.Context(), dir, discardLog)
	defer older.Close()
	older.ShareLimits(&process)
	newer := New(t.Context(), dir, discardLog)
	older.syncAdminCalls(t.Context(), &process)
	older.adjustLimits(&process)
	process.expect(t, "with a successor", false, true)
	newer.Close()
	older.adjustLimits(&process)
	process.expect(t, "once the successor has ended", false, false)
}

// TestAdminCallsApplyInBothProcesses: an admin call that one process has recorded is applied in the other exactly once.
func TestAdminCallsApplyInBothProcesses(t *testing.T) {
	dir := t.TempDir()
	older, newer := New(t.Context(), dir, discardLog), New(t.Context(), dir, discardLog)
	defer older.Close()
	defer newer.Close()
	if err := older.SaveOverride(t.Context(), handover.Override{Backend: "s", Disabled: true}); err != nil {
		t.Fatal(err)
	}
	var process fakeProcess
	for range 3 {
		newer.syncAdminCalls(t.Context(), &process)
	}
	if !slices.Equal(process.overrides, []string{"s"}) {
		t.Errorf("applied calls: %q, want one for \"s\"", process.overrides)
	}
}

// TestAwaitRecordReturnsWhenCancelled: AwaitRecord returns without waiting for an unreadable record once its context is done.
func TestAwaitRecordReturnsWhenCancelled(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	c := New(cancelled, t.TempDir()+"/none", discardLog)
	defer c.Close()
	start := time.Now()
	if overrides, _ := c.AwaitRecord(cancelled); len(overrides) != 0 || time.Since(start) > startupTimeout/2 {
		t.Errorf("%d overrides after %v, want none within half of startupTimeout", len(overrides), time.Since(start))
	}
}
