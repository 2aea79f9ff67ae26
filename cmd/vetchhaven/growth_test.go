package main

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

	"brookferry/internal/lab/inject"
)

var growthFor = flag.Duration("growth.for", 6*time.Second, "how long agents of two sizes of a fleet are called")

// fleetSize is what an agent is told of its fleet.
type fleetSize struct{ agents, backends int }

// needs are what a process needed from its start to its end.
type needs struct {
	cpu         time.Duration
	peakMB      float64
	descriptors int
	connections int64
	listBytes   int64 // from discovery
	served      float64
}

// manyBackends opens backends of which one of eight fails most requests. It returns their addresses, and counts connections.
func manyBackends(t *testing.T, n int, connections *atomic.Int64) (addrs []string) {
	t.Helper()
	const took = 40 * time.Millisecond
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.2.%d.%d:0", 1+i/200, 1+i%200))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(took)
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

// peak reads the most memory that a process has had, in MB, and how many descriptors it has now.
func peak(t *testing.T, pid int) (mb float64, descriptors int) {
	t.Helper()
	proc := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(proc + "/status")
	if err != nil {
		t.Error(err)
	}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(kb)[0], 64) // the kernel writes numbers
			mb = n / 1024
		}
	}
	open, err := filepath.Glob(proc + "/fd/*")
	if err != nil {
		t.Error(err)
	}
	return mb, len(open)
}

// needsOf runs an agent under 40 requests a second, while one in two hundred backends starts again each second.
func needsOf(t *testing.T, size fleetSize) (n needs) {
	t.Helper()
	const every = 25 * time.Millisecond
	var connections atomic.Int64
	var list []listed
	for i, addr := range manyBackends(t, size.backends, &connections) {
		list = append(list, listed{ID: fmt.Sprintf("s-%05d", i), Addr: addr, Zone: string(rune('a' + i%3)), Kind: "m", State: "ready", Weight: 1})
	}
	discovery := newChanges(t, list)
	d := deploy(t, discovery.addr, inject.Plan{}, nil, "", `"Balancers":1`, fmt.Sprintf(`"Balancers":%d`, size.agents), `"Dcs":["a"]`, `"Dcs":["a","b","c"]`,
		`"AimMs":5000,"DeadlineMs":5000`, `"AimMs":700,"DeadlineMs":2000`)
	awaitReady(t, d.addr)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: patience}
	defer client.CloseIdleConnections()
	var served, sent atomic.Int64
	var calls sync.WaitGroup
	tick := time.NewTicker(every)
	defer tick.Stop()
	for end, i := time.Now().Add(*growthFor), 0; time.Now().Before(end); i++ {
		<-tick.C
		sent.Add(1)
		calls.Go(func() {
			if status, _ := request(client, d.addr, "/get/x"); status == http.StatusOK {
				served.Add(1)
			}
		})
		if i%40 == 39 {
			discovery.restart(size.backends / 200)
			_, open := peak(t, d.cmd.Process.Pid)
			n.descriptors = max(n.descriptors, open)
		}
	}
	calls.Wait()
	n.peakMB, _ = peak(t, d.cmd.Process.Pid)
	d.signal(t, syscall.SIGTERM)
	if err := d.cmd.Wait(); err != nil {
		t.Error(err)
	}
	n.cpu = d.cmd.ProcessState.UserTime() + d.cmd.ProcessState.SystemTime()
	n.listBytes = discovery.sent.Load()
	n.connections, n.served = connections.Load(), float64(served.Load())/float64(sent.Load())
	return n
}

// changes is a discovery that tells the whole list once, and then what has changed.
type changes struct {
	addr string
	mu   sync.Mutex
	list []listed
	told []string      // a line for each change
	more chan struct{} // closed with the next
	sent atomic.Int64  // bytes
	next int           // backend that starts again
}

func newChanges(t *testing.T, list []listed) *changes {
	t.Helper()
	c := &changes{list: list, more: make(chan struct{})}
	whole := lineOf(t, 1, true, list)
	c.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.WriteString(w, whole)
		c.sent.Add(int64(n))
		for told := 0; ; {
			c.mu.Lock()
			lines, more := c.told[told:], c.more
			told = len(c.told)
			c.mu.Unlock()
			n, err := io.WriteString(w, strings.Join(lines, "")+"\n")
			c.sent.Add(int64(n))
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
	return c
}

func lineOf(t *testing.T, version int, full bool, list []listed) string {
	t.Helper()
	text, err := jsonOf(map[string]any{"version": version, "full": full, "servers": list})
	if err != nil {
		t.Fatal(err)
	}
	return text + "\n"
}

// restart has the next backends start again.
func (c *changes) restart(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var some []listed
	for range n {
		s := &c.list[c.next%len(c.list)]
		s.Started = time.Now().UnixMilli()
		some = append(some, *s)
		c.next += 7
	}
	text, _ := jsonOf(map[string]any{"version": 2 + len(c.told), "full": false, "servers": some}) // it holds nothing that can't be written
	c.told = append(c.told, text+"\n")
	close(c.more)
	c.more = make(chan struct{})
}

// What an agent needs grows only so far from the usual size of a fleet to the largest.
func TestNeedsInALargeFleet(t *testing.T) {
	usual, large := fleetSize{300, 200}, fleetSize{900, 3200}
	var a, b needs
	t.Run("beside each other", func(t *testing.T) { // on the same machine
		for into, size := range map[*needs]fleetSize{&a: usual, &b: large} {
			t.Run(fmt.Sprint(size.backends), func(t *testing.T) {
				t.Parallel()
				*into = needsOf(t, size)
			})
		}
	})
	if t.Failed() {
		return
	}
	t.Logf("usual %+v, large %+v", a, b)
	thousands := float64(large.backends) / 1000
	if most := time.Duration(1.4*float64(a.cpu) + (0.02+0.03*thousands)*float64(time.Second)); b.cpu > most {
		t.Errorf("%v of processor time, %v allowed", b.cpu, most)
	}
	if most := 1.5*a.peakMB + 8 + 4*thousands; b.peakMB > most {
		t.Errorf("%.1f MB, %.1f allowed", b.peakMB, most)
	}
	if most := 2*a.descriptors + 40; b.descriptors > most {
		t.Errorf("%d descriptors, %d allowed", b.descriptors, most)
	}
	if most := a.connections*5/2 + 40; b.connections > most {
		t.Errorf("%d connections to backends, %d allowed", b.connections, most)
	}
	if most := 2*a.listBytes + 64<<10 + int64(500e3*thousands); b.listBytes > most {
		t.Errorf("%d bytes of lists, %d allowed", b.listBytes, most)
	}
	if least := 0.85 * a.served; b.served < least {
		t.Errorf("%.3f served, %.3f wanted", b.served, least)
	}
}

func jsonOf(v any) (string, error) {
	text, err := json.Marshal(v)
	return string(text), err
}
