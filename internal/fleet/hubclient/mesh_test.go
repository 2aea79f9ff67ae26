// Tests of the fallback to the full mesh.

package hubclient

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hub"
)

// Without hubs the agent falls back to the full mesh, and leaves it when a hub is available again. The agent's address
// never refuses a connection, and no quota exceeds the quota by either rule.
func TestFallBackToMeshAndReturn(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	a.kill()
	a.fleetSize = hub.FleetSize{Attached: 2, Dead: 5}
	agent := newTestAgent(t, func(c *Config) {
		c.NewMesh = func(listener *net.TCPListener, startedAt time.Time, callbacks fleet.Callbacks) (*fleet.Fleet, error) {
			return fleet.New(fleet.Config{Name: "x", Site: "a", Listen: listener.Addr().String(),
				Listener: listener, StartedAt: startedAt, Label: "l", MaxMembers: 10, ListRate: 50,
				Log: slog.New(slog.DiscardHandler)}, []string{"a", "b"}, callbacks)
		}
	}, a)
	stopDialing := countRefusals(agent.listener.address())
	waitFor(t, "the full mesh", func() bool { return agent.Status().MeshRunning })
	waitFor(t, "an even quota", agent.hasQuota(1./10))
	a.start(t, a.addr)
	waitFor(t, "the quota by a's fleet size", agent.hasQuota(1./5))
	if agent.Status().MeshRunning {
		t.Error("the full mesh still runs after a hub has accepted the agent")
	}
	if n := stopDialing(); n > 0 {
		t.Errorf("%d connections were refused or reset, want none", n)
	}
	agent.mu.Lock()
	defer agent.mu.Unlock()
	if !slices.Equal(agent.quotas, []float64{startupQuota / 10, 1. / 10, 1. / 5}) {
		t.Errorf("quotas %v, want 0.01, 0.1, 0.2", agent.quotas)
	}
}

// When the agent can't join the full mesh, it retries after meshRetryInterval, and its address accepts connections
// throughout.
func TestFailedFallBackToMeshIsRetried(t *testing.T) {
	t.Parallel()
	a := newFakeHub(t, "a")
	a.kill()
	attempts := make(chan time.Time, 100)
	agent := newTestAgent(t, func(c *Config) {
		c.NewMesh = func(*net.TCPListener, time.Time, fleet.Callbacks) (*fleet.Fleet, error) {
			attempts <- time.Now()
			return nil, errors.New("no mesh")
		}
	}, a)
	waitFor(t, "the third attempt", func() bool { return len(attempts) >= 3 })
	first, second, third := <-attempts, <-attempts, <-attempts
	if second.Sub(first) < meshRetryInterval || third.Sub(second) < meshRetryInterval {
		t.Errorf("attempts %v and %v apart, want meshRetryInterval (1 s) at least", second.Sub(first), third.Sub(second))
	}
	conn, err := net.Dial("tcp", agent.listener.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // the connection was accepted, and closed without a reset
		t.Errorf("read: %v, want EOF", err)
	}
	if agent.Status().MeshRunning {
		t.Error("the status reports a running full mesh after failed attempts to join")
	}
}

// countRefusals connects to an address repeatedly. stop ends the attempts and returns the number of connections that
// were refused or reset.
func countRefusals(addr string) (stop func() int) {
	refused := make(chan int)
	done := make(chan struct{})
	go func() {
		n := 0
		for {
			select {
			case <-done:
				refused <- n
				return
			default:
			}
			conn, err := net.Dial("tcp", addr)
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				n++
			}
			if err == nil {
				conn.Close()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	return func() int {
		close(done)
		return <-refused
	}
}
