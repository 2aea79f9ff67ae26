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

// An agent of another fleet is rejected by a status, or after its Hello. Agents beyond the rate receive Busy.
func TestAdmissionRejectsOtherFleetsAndLimitsRate(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 100, func(c *Config) { c.AdmitRate = 10 })
	if _, _, err := dialUpgrade(hub.fleet.Addr(), "other"); !errors.Is(err, errStatus) || !strings.Contains(err.Error(), "403") {
		t.Errorf("agent of another fleet: %v", err)
	}
	conn, reader, err := dialUpgrade(hub.fleet.Addr(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = writeFrame(conn, &frame.Frame{Hello: &frame.Hello{Label: "other", Name: "x"}})
	if f, err := frame.Read(reader); err == nil {
		t.Errorf("agent of another fleet is sent %+v", f)
	}
	startedAt, admitted := time.Now(), 0
	var waits []time.Duration
	for i := range 20 {
		a := attachAgent(t, hub, frame.Hello{Name: fmt.Sprint("n", i), Incarnation: 1}, servingState)
		waitFor(t, "answer", func() bool {
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
		t.Errorf("%d admitted in %v", admitted, time.Since(startedAt))
	}
	for _, wait := range waits {
		if wait <= 0 || wait > maxRetryAfter {
			t.Errorf("retry after %v", wait)
		}
	}
}
