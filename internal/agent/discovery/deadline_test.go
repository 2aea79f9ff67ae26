package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// drainGrace is the longest time between the moment at which a change counts as received and its delivery.
const drainGrace = 500 * time.Millisecond

// Under any sequence of faults and address changes, a change is delivered within the grace for drains after it counts as
// received. A change counts as received PropagationDeadline after discovery had it and could be reached. Where lists are
// pushed, it counts as received as soon as discovery answers again after an outage. Polls retry after the decision
// module's backoff.
func TestChangesArriveByPropagationDeadline(t *testing.T) {
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("polled ", polled), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				// Steps are drawn here because rapid may abort a check at a draw, which must not happen inside the bubble.
				steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 12).Draw(r, "steps")
				failure := ""
				defer func() {
					if failure != "" {
						r.Fatal(failure)
					}
				}()
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					watcher := startWatcher(t, discovery, polled)
					watcher.startPolling(steps[0].waitPercent)
					synctest.Wait()
					for i, s := range steps {
						watcher.setWait(s.waitPercent)
						if failure = s.run(i, discovery, watcher, polled); failure != "" {
							return
						}
					}
					if len(discovery.openStreams) > maxOpening+1 {
						failure = fmt.Sprintf("%d streams are open, want at most %d", len(discovery.openStreams), maxOpening+1)
					}
				})
			})
		})
	}
}

// step is a fault of discovery or a change of its address, followed by a change of the list.
type step struct {
	kind        int // see begin
	ms          int // duration in milliseconds
	waitPercent int // the watcher's waitPercent during the step
}

func drawStep(r *rapid.T) step {
	return step{
		kind:        rapid.IntRange(0, 6).Draw(r, "kind"),
		ms:          rapid.IntRange(0, 9000).Draw(r, "ms"),
		waitPercent: rapid.IntRange(1, 100).Draw(r, "wait"),
	}
}

// run runs the i-th step. It returns a failure message if the change at the end was not delivered in time.
func (s step) run(i int, discovery *fakeDiscovery, watcher *runningWatcher, polled bool) (failure string) {
	s.begin(i, discovery, watcher)
	beganAt := time.Now()
	time.Sleep(time.Duration(s.ms) * time.Millisecond)
	outage := discovery.unresponsive || discovery.refusing
	discovery.update(func() {
		discovery.version, discovery.unresponsive, discovery.refusing = discovery.version+1, false, false
	})
	untilDeadline := time.Until(beganAt.Add(PropagationDeadline))
	if polled && outage {
		untilDeadline = PropagationDeadline // discovery can be reached again from now on
	} else if outage || untilDeadline < 0 {
		untilDeadline = 0
	}
	time.Sleep(untilDeadline + drainGrace)
	synctest.Wait()
	if watcher.lastVersion() != discovery.version {
		return fmt.Sprintf("step %d: received version %d, want %d, %v after the change counts as received; log: %s",
			i, watcher.lastVersion(), discovery.version, drainGrace, watcher.log.String())
	}
	return ""
}

// begin starts the fault or the change of address of the i-th step.
func (s step) begin(i int, discovery *fakeDiscovery, watcher *runningWatcher) {
	switch k := s.kind; {
	case k == 0:
		discovery.update(func() { discovery.unresponsive = true })
	case k == 1: // all connections end, and new ones are refused
		discovery.update(func() { discovery.refusing = true })
	case k <= 3: // open streams receive nothing from now on; for kind 3, the next two requests get no response either
		discovery.update(func() {
			discovery.unansweredRequests = (k - 2) * 2
			for w := range discovery.openStreams {
				discovery.openStreams[w] = true
			}
		})
	case k == 4: // open streams receive a value that never ends
		discovery.update(func() {
			for w := range discovery.openStreams {
				discovery.sendingPartial[w] = true
			}
		})
	case k == 5: // the address changes twice
		watcher.SetAddr(fmt.Sprintf("10.0.1.%d:1", i))
		discovery.update(func() { discovery.unansweredRequests = s.waitPercent % 3 })
		watcher.SetAddr(fmt.Sprintf("10.0.2.%d:1", i))
	}
}
