package main

// The resource usage of an agent in fleets of different sizes.

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/faultinject"
)

var growthDuration = flag.Duration("growth.for", 6*time.Second, "how long the load on the agents of each fleet size lasts")

// fleetSize is the fleet size in an agent's configuration.
type fleetSize struct{ agents, backends int }

// traffic is the load on one agent, which does not depend on the fleet size.
type traffic struct {
	interval  time.Duration // between requests
	objective time.Duration // latency objective of the class
	latency   time.Duration // of a backend's response
}

// resourceUsage is the resource usage of an agent process from start to exit, and the share of its requests that were served.
type resourceUsage struct {
	cpu         time.Duration
	peakMB      float64
	descriptors int
	connections int64
	listBytes   int64 // sent by discovery
	served      float64
}

// startBackends starts n backends and returns their addresses. Every eighth backend fails each request. connections counts the
// connections to all backends.
func startBackends(t *testing.T, n int, latency time.Duration, connections *atomic.Int64) (addrs []string) {
	t.Helper()
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.2.%d.%d:0", 1+i/200, 1+i%200))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(latency)
				if i%8 == 3 {
					w.WriteHeader(http.StatusInternalServerError)
				}
			}),
			ConnState: func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					connections.Add(1)
				}
			}}
		go func() { _ = server.Serve(ln) }()
		t.Cleanup(func() { server.Close() })
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

// processUsage returns the peak memory of a process in MB and its current number of descriptors.
func processUsage(t *testing.T, pid int) (mb float64, descriptors int) {
	t.Helper()
	peak, statusErr := processStatus(pid, "VmHWM")
	open, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err := errors.Join(statusErr, err); err != nil {
		t.Error(err)
	}
	return float64(peak) / (1 << 20), len(open)
}

// processStatus returns the value in bytes of a field of a process's status, which the kernel gives in kB.
func processStatus(pid int, field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			kB, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("the status of process %d has no %s", pid, field)
}

// sendLoad sends requests to an agent at fixed intervals while one in 200 backends restarts each second. It returns the share of
// requests that were served and the maximum number of descriptors that the agent had open.
func sendLoad(t *testing.T, client *http.Client, d *agentProcess, discovery *deltaDiscovery, backends int,
	load traffic) (share float64, descriptors int) {
	t.Helper()
	var served, sent atomic.Int64
	var calls sync.WaitGroup
	tick := time.NewTicker(load.interval)
	defer tick.Stop()
	for end, i := time.Now().Add(*growthDuration), 0; time.Now().Before(end); i++ {
		<-tick.C
		sent.Add(1)
		calls.Go(func() {
			if status, _ := get(client, d.addr, "/get/x"); status == http.StatusOK {
				served.Add(1)
			}
		})
		if requestsPerSecond := int(time.Second / load.interval); i%requestsPerSecond == requestsPerSecond-1 {
			discovery.restart(max(1, backends/200))
			_, open := processUsage(t, d.cmd.Process.Pid)
			descriptors = max(descriptors, open)
		}
	}
	calls.Wait()
	return float64(served.Load()) / float64(sent.Load()), descriptors
}

// measureUsage runs an agent under load while one in 200 backends restarts each second, and returns its resource usage.
func measureUsage(t *testing.T, size fleetSize, load traffic) (usage resourceUsage) {
	t.Helper()
	var connections atomic.Int64
	var list []endpoint
	for i, addr := range startBackends(t, size.backends, load.latency, &connections) {
		list = append(list, endpoint{ID: fmt.Sprintf("s-%05d", i), Addr: addr, Zone: string(rune('a' + i%3)), Kind: "m",
			State: "ready", Weight: 1})
	}
	discovery := newDeltaDiscovery(t, list)
	objective := load.objective.Milliseconds()
	d := startAgent(t, discovery.addr, faultinject.Plan{}, nil, "",
		`"Balancers":1`, fmt.Sprintf(`"Balancers":%d`, size.agents), `"Dcs":["a"]`, `"Dcs":["a","b","c"]`,
		`"AimMs":5000,"DeadlineMs":5000`, fmt.Sprintf(`"AimMs":%d,"DeadlineMs":%d`, objective, 3*objective))
	awaitReady(t, d.addr)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: testTimeout}
	defer client.CloseIdleConnections()
	usage.served, usage.descriptors = sendLoad(t, client, d, discovery, size.backends, load)
	usage.peakMB, _ = processUsage(t, d.cmd.Process.Pid)
	d.signal(t, syscall.SIGTERM)
	if err := d.cmd.Wait(); err != nil {
		t.Error(err)
	}
	usage.cpu = d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
	usage.listBytes = discovery.bytesSent.Load()
	usage.connections = connections.Load()
	return usage
}

// deltaDiscovery is a discovery service that sends the full list once and then only the changes.
type deltaDiscovery struct {
	addr        string
	mu          sync.Mutex
	list        []endpoint
	lines       []string      // one for each update
	changed     chan struct{} // closed when a line is appended
	bytesSent   atomic.Int64
	nextBackend int // index of the backend that restarts next, modulo the length of the list
}

func newDeltaDiscovery(t *testing.T, list []endpoint) *deltaDiscovery {
	t.Helper()
	d := &deltaDiscovery{list: list, changed: make(chan struct{})}
	full := listLine(t, 1, true, list)
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.WriteString(w, full)
		d.bytesSent.Add(int64(n))
		for sent := 0; ; {
			d.mu.Lock()
			lines, more := d.lines[sent:], d.changed
			sent = len(d.lines)
			d.mu.Unlock()
			n, err := io.WriteString(w, strings.Join(lines, "")+"\n")
			d.bytesSent.Add(int64(n))
			if err = errors.Join(err, http.NewResponseController(w).Flush()); err != nil {
				return
			}
			select {
			case <-more:
			case <-time.After(2 * time.Second):
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// listLine returns an endpoint update as one line of JSON.
func listLine(t *testing.T, version int, full bool, list []endpoint) string {
	t.Helper()
	text, err := toJSON(map[string]any{"version": version, "full": full, "servers": list})
	if err != nil {
		t.Fatal(err)
	}
	return text + "\n"
}

// restart publishes an update in which the next n backends have restarted.
func (d *deltaDiscovery) restart(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var restarted []endpoint
	for range n {
		s := &d.list[d.nextBackend%len(d.list)]
		s.Started = time.Now().UnixMilli()
		restarted = append(restarted, *s)
		d.nextBackend += 7
	}
	text, _ := toJSON(map[string]any{"version": 2 + len(d.lines), "full": false, "servers": restarted}) // can't fail: the map has only plain values
	d.lines = append(d.lines, text+"\n")
	close(d.changed)
	d.changed = make(chan struct{})
}

// The resource usage of an agent in a fleet with sixteen times as many backends stays within bounds that follow from its usage in
// a fleet of the usual size.
func TestResourcesInALargeFleetAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		usual, large fleetSize
		load         traffic
	}{
		"many agents": {fleetSize{300, 200}, fleetSize{900, 3200},
			traffic{25 * time.Millisecond, 700 * time.Millisecond, 40 * time.Millisecond}},
		"few agents": {fleetSize{4, 12}, fleetSize{12, 192},
			traffic{12 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond}},
		"long latency objective": {fleetSize{250, 50}, fleetSize{750, 800},
			traffic{25 * time.Millisecond, 2500 * time.Millisecond, 200 * time.Millisecond}},
		"low load": {fleetSize{300, 200}, fleetSize{900, 3200},
			traffic{200 * time.Millisecond, 700 * time.Millisecond, 40 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			var usualUsage, largeUsage resourceUsage
			t.Run("both sizes", func(t *testing.T) { // both at the same time, so that they run on an equally busy machine
				for result, size := range map[*resourceUsage]fleetSize{&usualUsage: c.usual, &largeUsage: c.large} {
					t.Run(fmt.Sprint(size.backends), func(t *testing.T) {
						t.Parallel()
						*result = measureUsage(t, size, c.load)
					})
				}
			})
			t.Logf("usual %+v, large %+v", usualUsage, largeUsage)
			if !t.Failed() {
				largeUsage.checkGrowth(t, usualUsage, float64(c.large.backends)/1000)
			}
		})
	}
}

// checkGrowth checks the usage of an agent in a large fleet against bounds that follow from its usage in a fleet of the usual size.
// thousands is the number of backends in the large fleet, in thousands.
func (u resourceUsage) checkGrowth(t *testing.T, usual resourceUsage, thousands float64) {
	t.Helper()
	if limit := time.Duration(1.4*float64(usual.cpu) + (0.02+0.03*thousands)*float64(time.Second)); u.cpu > limit {
		t.Errorf("%v of processor time, want at most %v", u.cpu, limit)
	}
	if limit := 1.5*usual.peakMB + 8 + 4*thousands; u.peakMB > limit {
		t.Errorf("%.1f MB of memory, want at most %.1f", u.peakMB, limit)
	}
	if limit := 2*usual.descriptors + 40; u.descriptors > limit {
		t.Errorf("%d descriptors, want at most %d", u.descriptors, limit)
	}
	if limit := usual.connections*5/2 + 40; u.connections > limit {
		t.Errorf("%d connections to backends, want at most %d", u.connections, limit)
	}
	if limit := 2*usual.listBytes + 64<<10 + int64(500e3*thousands); u.listBytes > limit {
		t.Errorf("%d bytes of endpoint lists, want at most %d", u.listBytes, limit)
	}
	if minimum := 0.85 * usual.served; u.served < minimum {
		t.Errorf("%.3f of the requests were served, want at least %.3f", u.served, minimum)
	}
}

func toJSON(v any) (string, error) {
	text, err := json.Marshal(v)
	return string(text), err
}
