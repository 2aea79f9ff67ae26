package discovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Whatever happens to discovery and to the streams, and however often discovery's address changes, a change is
// delivered within the grace for drains after it counts as received: PropagationDeadline after discovery had it and
// could be reached, or, where lists are pushed, the moment that discovery answers again. Polls follow a failure after a
// backoff, as the decision module's do.
func TestChangesArriveByPropagationDeadline(t *testing.T) {
	const grace = 500 * time.Millisecond
	for _, polled := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", polled), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				// Drawn beforehand: rapid may abort a check at a draw, which must not happen inside the bubble.
				type step struct{ kind, ms, wait int }
				steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
					return step{rapid.IntRange(0, 6).Draw(r, "kind"), rapid.IntRange(0, 9000).Draw(r, "ms"), rapid.IntRange(1, 100).Draw(r, "wait")}
				}), 1, 12).Draw(r, "steps")
				failure := ""
				defer func() {
					if failure != "" {
						r.Fatal(failure)
					}
				}()
				runInBubble(t, func(t *testing.T) {
					discovery := newFakeDiscovery(t)
					watcher := startWatcher(t, discovery, polled)
					watcher.startPolling(steps[0].wait)
					synctest.Wait()
					var unresponsiveAt time.Time // when the present fault began; zero: there is none
					for i, s := range steps {
						watcher.setWait(s.wait)
						switch k := s.kind; {
						case k == 0:
							discovery.update(func() { discovery.unresponsive = true })
						case k == 1: // all connections end, and none is made
							discovery.update(func() { discovery.refusing = true })
						case k <= 3: // open streams get nothing any more, nor do up to two new ones
							discovery.update(func() {
								discovery.unansweredCalls = (k - 2) * 2
								for w := range discovery.silenced {
									discovery.silenced[w] = true
								}
							})
						case k == 4: // open streams get a value that never ends
							discovery.update(func() {
								for w := range discovery.silenced {
									discovery.dripping[w] = true
								}
							})
						case k == 5: // the address changes twice
							watcher.SetAddr(fmt.Sprintf("10.0.1.%d:1", i))
							discovery.update(func() { discovery.unansweredCalls = s.wait % 3 })
							watcher.SetAddr(fmt.Sprintf("10.0.2.%d:1", i))
						}
						if unresponsiveAt.IsZero() {
							unresponsiveAt = time.Now()
						}
						time.Sleep(time.Duration(s.ms) * time.Millisecond)
						outage := discovery.unresponsive || discovery.refusing
						discovery.update(func() {
							discovery.version, discovery.unresponsive, discovery.refusing = discovery.version+1, false, false
						})
						untilDeadline := time.Until(unresponsiveAt.Add(PropagationDeadline))
						if polled && outage {
							untilDeadline = PropagationDeadline // from now, when discovery can be reached again
						} else if outage || untilDeadline < 0 {
							untilDeadline = 0
						}
						time.Sleep(untilDeadline + grace)
						synctest.Wait()
						if watcher.lastVersion() != discovery.version {
							failure = fmt.Sprintf("step %d: version %d is known, not %d, %v after it counts as told; %s", i, watcher.lastVersion(), discovery.version, grace, watcher.log.String())
							return
						}
						unresponsiveAt = time.Time{}
					}
					if len(discovery.silenced) > maxOpening+1 {
						failure = fmt.Sprintf("%d watches are open", len(discovery.silenced))
					}
				})
			})
		})
	}
}
