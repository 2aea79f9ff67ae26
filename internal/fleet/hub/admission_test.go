// This file tests which agents are admitted.

package hub

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/fleet/hub/frame"
)

// The hub rejects an agent of another fleet with status 403 if the upgrade request names that fleet, and otherwise ends
// the stream after the Hello. Agents beyond the admission rate receive Busy.
func TestAdmissionRejectsOtherFleetsAndLimitsRate(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 100, func(c *Config) { c.AdmitRate = 10 })
	if _, _, err := dialUpgrade(hub.fleet.Addr(), "other"); !errors.Is(err, errStatus) || !strings.Contains(err.Error(), "403") {
		t.Errorf("upgrade of an agent of another fleet: got error %v, want status 403", err)
	}
	conn, reader, err := dialUpgrade(hub.fleet.Addr(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = writeFrame(conn, &frame.Frame{Hello: &frame.Hello{Label: "other", Name: "x"}})
	if f, err := frame.Read(reader); err == nil {
		t.Errorf("agent of another fleet received %+v, want the end of the stream", f)
	}
	startedAt, admitted := time.Now(), 0
	var waits []time.Duration
	for i := range 20 {
		a := attachAgent(t, hub, frame.Hello{Name: fmt.Sprint("n", i), Incarnation: 1}, servingState)
		waitFor(t, "Welcome or Busy", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.busy != nil {
				waits = append(waits, a.busy.RetryAfter)
			} else if a.welcome != nil {
				admitted++
			}
			return a.busy != nil || a.welcome != nil
		})
	}
	if limit := 1 + 10*time.Since(startedAt).Seconds(); float64(admitted) > limit || admitted == 0 {
		t.Errorf("%d agents admitted in %v, want at least 1 and at most 10 per second after a burst of 1", admitted, time.Since(startedAt))
	}
	for _, wait := range waits {
		if wait <= 0 || wait > maxRetryAfter {
			t.Errorf("Busy with a retry after %v, want above 0 and at most maxRetryAfter", wait)
		}
	}
}
