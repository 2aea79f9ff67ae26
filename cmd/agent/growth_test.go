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

	"martenbeam/internal/lab/faultinject"
)

var growthFor = flag.Duration("growth.for", 6*time.Second, "how long agents of two sizes of a fleet are called")

// fleetSize is what an agent is told of its fleet.
type fleetSize struct{ agents, backends int }

// traffic is what one agent of a fleet carries, at any size of that.
type traffic struct {
	apart time.Duration // requests come so far apart
	aim   time.Duration // of the longest class
	work  time.Duration // of a request
}

// needs are what a process needed from its start to its end.
type needs struct {
	cpu         time.Duration
	peakMB      float64
	descriptors int
	connections int64
	listBytes   int64 // from discovery
	served      float64
}

// manyBackends opens backends of which one of eight fails each request. It returns their addresses, and counts connections.
func manyBackends(t *testing.T, n int, work time.Duration, connections *atomic.Int64) (addrs []string) {
	t.Helper()
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.2.%d.%d:0", 1+i/200, 1+i%200))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(work)
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

// needsOf runs an agent, while one in two hundred backends starts again each second.
func needsOf(t *testing.T, size fleetSize, load traffic) (n needs) {
	t.Helper()
	var connections atomic.Int64
	var list []listed
	for i, addr := range manyBackends(t, size.backends, load.work, &connections) {
		list = append(list, listed{ID: fmt.Sprintf("s-%05d", i), Addr: addr, Zone: string(rune('a' + i%3)), Kind: "m", State: "ready", Weight: 1})
	}
	discovery := newChanges(t, list)
	d := deploy(t, discovery.addr, faultinject.Plan{}, nil, "", `"Balancers":1`, fmt.Sprintf(`"Balancers":%d`, size.agents), `"Dcs":["a"]`, `"Dcs":["a","b","c"]`,
		`"AimMs":5000,"DeadlineMs":5000`, fmt.Sprintf(`"AimMs":%d,"DeadlineMs":%d`, load.aim.Milliseconds(), 3*load.aim.Milliseconds()))
	awaitReady(t, d.addr)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: patience}
	defer client.CloseIdleConnections()
	var served, sent atomic.Int64
	var calls sync.WaitGroup
	tick := time.NewTicker(load.apart)
	defer tick.Stop()
	for end, i := time.Now().Add(*growthFor), 0; time.Now().Before(end); i++ {
		<-tick.C
		sent.Add(1)
		calls.Go(func() {
			if status, _ := request(client, d.addr, "/get/x"); status == http.StatusOK {
				served.Add(1)
			}
		})
		if each := int(time.Second / load.apart); i%each == each-1 {
			discovery.restart(max(1, size.backends/200))
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

// What an agent needs grows only so far from the usual size of a fleet to sixteen times the backends.
func TestNeedsInALargeFleet(t *testing.T) {
	for name, c := range map[string]struct {
		usual, large fleetSize
		load         traffic
	}{
		"many agents":  {fleetSize{300, 200}, fleetSize{900, 3200}, traffic{25 * time.Millisecond, 700 * time.Millisecond, 40 * time.Millisecond}},
		"few agents":   {fleetSize{4, 12}, fleetSize{12, 192}, traffic{12 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond}},
		"a long aim":   {fleetSize{250, 50}, fleetSize{750, 800}, traffic{25 * time.Millisecond, 2500 * time.Millisecond, 200 * time.Millisecond}},
		"little to do": {fleetSize{300, 200}, fleetSize{900, 3200}, traffic{200 * time.Millisecond, 700 * time.Millisecond, 40 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			var a, b needs
			t.Run("beside each other", func(t *testing.T) { // on the same machine
				for into, size := range map[*needs]fleetSize{&a: c.usual, &b: c.large} {
					t.Run(fmt.Sprint(size.backends), func(t *testing.T) {
						t.Parallel()
						*into = needsOf(t, size, c.load)
					})
				}
			})
			t.Logf("usual %+v, large %+v", a, b)
			if !t.Failed() {
				b.within(t, a, float64(c.large.backends)/1000)
			}
		})
	}
}

// within holds what an agent needs in a large fleet against what it may, by what it needs at the usual size.
func (n needs) within(t *testing.T, usual needs, thousands float64) {
	t.Helper()
	if most := time.Duration(1.4*float64(usual.cpu) + (0.02+0.03*thousands)*float64(time.Second)); n.cpu > most {
		t.Errorf("%v of processor time, %v allowed", n.cpu, most)
	}
	if most := 1.5*usual.peakMB + 8 + 4*thousands; n.peakMB > most {
		t.Errorf("%.1f MB, %.1f allowed", n.peakMB, most)
	}
	if most := 2*usual.descriptors + 40; n.descriptors > most {
		t.Errorf("%d descriptors, %d allowed", n.descriptors, most)
	}
	if most := usual.connections*5/2 + 40; n.connections > most {
		t.Errorf("%d connections to backends, %d allowed", n.connections, most)
	}
	if most := 2*usual.listBytes + 64<<10 + int64(500e3*thousands); n.listBytes > most {
		t.Errorf("%d bytes of lists, %d allowed", n.listBytes, most)
	}
	if least := 0.85 * usual.served; n.served < least {
		t.Errorf("%.3f served, %.3f wanted", n.served, least)
	}
}

func jsonOf(v any) (string, error) {
	text, err := json.Marshal(v)
	return string(text), err
}
