package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	product "martenbeam/internal/agent"
	"martenbeam/internal/bootclock"
	"martenbeam/internal/membership"
)

// TestMain lets the test binary run as an agent or a hub, real or fake, as LAB_TEST_AGENT selects. A fake has one fault, which
// its mode names.
func TestMain(m *testing.M) {
	mode := os.Getenv("LAB_TEST_AGENT")
	if len(os.Args) == 4 && os.Args[1] == "hub" {
		if mode == "real" {
			runRealHub(os.Args[3])
		} else {
			runFakeHub(mode, os.Args[3])
		}
		os.Exit(0)
	}
	switch mode {
	case "":
		os.Exit(m.Run())
	case "real":
		source := product.PlatformSource(os.Getenv)
		source.Join = membership.JoinFromConfig
		if err := product.Serve(slog.New(slog.NewTextHandler(os.Stderr, nil)), source); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case "lab":
		runLabUntilKilled()
	default:
		runFakeAgent(mode)
	}
	os.Exit(0)
}

// brokenAgent sends each request to one backend, once, except for the fault that its mode names.
type brokenAgent struct {
	mode      string
	mu        sync.Mutex
	backends  map[string]endpoint
	picks     int
	restarted bool // the agent was restarted with the files of its previous run
}

// runFakeAgent runs a brokenAgent with the configuration that PROXY_CONFIG names.
func runFakeAgent(mode string) {
	text, err := os.ReadFile(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		panic(err)
	}
	var config struct {
		Listen, Discovery string
		Known             endpointList
		Fleet             struct {
			Listen, Trace string
			Hubs          map[string]string
			State         string `json:"settings_state"`
		}
	}
	if err := json.Unmarshal(text, &config); err != nil {
		panic(err)
	}
	a := &brokenAgent{mode: mode, backends: map[string]endpoint{}}
	marker := filepath.Join(os.Getenv("TMPDIR"), "before")
	_, err = os.Stat(marker)
	a.restarted = err == nil
	_ = os.WriteFile(marker, nil, 0o600) // only its existence matters
	if config.Fleet.Trace != "" {
		go a.writeTrace(config.Fleet.Trace)
	}
	if len(config.Fleet.Hubs) > 0 {
		var hubs []string
		for _, addr := range config.Fleet.Hubs {
			hubs = append(hubs, addr)
		}
		go applySettings(mode, config.Fleet.Listen, config.Fleet.State, hubs, nil)
	}
	a.applyList(config.Known)
	go a.watchList(config.Discovery, config.Known.Version)
	if mode == "probes" {
		go a.probeAll()
	}
	if mode == "starts-late" && a.restarted {
		time.Sleep(time.Second)
	}
	panic(http.ListenAndServe(config.Listen, a))
}

func (a *brokenAgent) applyList(m endpointList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range m.Servers {
		if s.State == "ready" || a.mode != "ignores-lists" && s.State == "draining" {
			a.backends[s.ID] = s
		}
		if s.State != "ready" && a.mode != "ignores-lists" {
			delete(a.backends, s.ID)
		}
	}
}

func (a *brokenAgent) watchList(discovery string, since int64) {
	resp, err := http.Get(fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", discovery, since))
	if err != nil {
		panic(err)
	}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var m endpointList
		if json.Unmarshal(lines.Bytes(), &m) == nil {
			a.applyList(m)
		}
	}
}

// writeTrace writes a trace of the use of a gossip entry and of a quota. In mode "uses-old" the entry is 4 s old, past its bound;
// in mode "takes-two-parts" the quota is half of the in-flight limit.
func (a *brokenAgent) writeTrace(file string) {
	startedAt := bootclock.SinceBoot()
	traceEntry := func(what string, at time.Duration) string {
		return fmt.Sprintf(`{"at":%d,"what":%q,"kind":"distance","observer":"x","subject":"y","incarnation":1,"seq":1}`+"\n", at.Microseconds(), what)
	}
	text, age := "", time.Second
	quota := 0.3
	switch a.mode {
	case "uses-old":
		age = 4 * time.Second
	case "takes-two-parts":
		quota = 0.5
	}
	text += traceEntry("tell", startedAt-age) + traceEntry("use", startedAt) + fmt.Sprintf(`{"at":%d,"part":%v}`+"\n", startedAt.Microseconds(), quota)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// mayUseZone reports whether the agent may use a zone: the zone that the tests' policy permits, or another one if the mode
// violates the policy.
func (a *brokenAgent) mayUseZone(zone string, retry bool) bool {
	initiallyPermitted := zone == "riga-ziepniekkalns" || zone == "riga-purvciems"
	switch {
	case a.mode == "leaks", a.mode == "leaks-on-repeat" && retry, a.mode == "leaks-after-restart" && a.restarted:
		return !initiallyPermitted
	case a.mode == "leaks-after-change": // the agent never receives the second policy
		return initiallyPermitted
	}
	return zone == "riga-ziepniekkalns"
}

// pickPermitted returns a backend in a zone for which mayUseZone reports true.
func (a *brokenAgent) pickPermitted(retry bool) endpoint {
	for {
		if s, _ := a.pick(); a.mayUseZone(s.Zone, retry) {
			return s
		}
	}
}

// probeAll sends a load probe to a backend every 5 ms, with a timeout of 50 ms.
func (a *brokenAgent) probeAll() {
	client := &http.Client{Timeout: 50 * time.Millisecond}
	for range time.Tick(5 * time.Millisecond) {
		s, _ := a.pick()
		go func() {
			if resp, err := client.Get("http://" + s.Addr + "/_load"); err == nil {
				resp.Body.Close()
			}
		}()
	}
}

// pick returns a random backend, or the newest one in mode "rushes-the-newest", and the number of picks so far.
func (a *brokenAgent) pick() (best endpoint, picks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.picks++
	i := a.picks
	for _, s := range a.backends { // the random order of maps makes the choice
		if best.ID == "" || a.mode == "rushes-the-newest" && s.Started > best.Started {
			best = s
		}
		if i--; i == 0 {
			break
		}
	}
	return best, a.picks
}

func (a *brokenAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s, n := a.pick()
	faulty := n%5 == 0
	if strings.HasPrefix(a.mode, "leaks") || a.mode == "resides" {
		s = a.pickPermitted(false)
	}
	deadline := clientDeadline(r)
	send := func(to endpoint, id string, body []byte) (int, []byte) {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to.Addr+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		out.Header = r.Header.Clone()
		out.Header.Set("X-Trace-Id", id)
		out.Header.Del("X-Expires-In") // the fake does not deduct the time that it waits for a connection
		if a.mode == "overstates" {
			out.Header.Set("X-Expires-In", "60")
		}
		resp, err := http.DefaultTransport.RoundTrip(out)
		if err != nil {
			return http.StatusBadGateway, nil
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // the client detects a truncated body
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Never-Ran") == "" {
			return http.StatusBadGateway, nil
		}
		return resp.StatusCode, text
	}
	id := r.Header.Get("X-Trace-Id")
	switch {
	case a.mode == "hangs-up" && faulty:
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "served "+id)
		_ = http.NewResponseController(w).Flush() // on an error, the client detects the end of the connection
		panic(http.ErrAbortHandler)
	case a.mode == "never-answers" && faulty:
		<-r.Context().Done()
		return
	case a.mode == "forges" && faulty:
		fmt.Fprint(w, "served "+id)
		return
	case a.mode == "invents" && faulty:
		send(s, "feedfacefeedface", body)
	case a.mode == "rewrites" && faulty:
		body = append(body, '!')
	case a.mode == "dies" && n == 20: // in the middle of an answer
		w.Header().Set("Content-Length", "1000")
		fmt.Fprint(w, "served "+id)
		_ = http.NewResponseController(w).Flush() // on an error, the client detects the end of the connection
		os.Exit(7)
	case a.mode == "hoards" && n == 20:
		retained = bytes.Repeat([]byte{1}, 256<<20)
	}
	status, text := send(s, id, body)
	switch {
	case a.mode == "reads-and-closes" && faulty:
		panic(http.ErrAbortHandler)
	case a.mode == "sends-after-the-end" && faulty:
		time.AfterFunc(300*time.Millisecond, func() {
			deadline = time.Now().Add(time.Second) // the client's may be over
			send(s, id, body)
		})
	case a.mode == "repeats-in-pod" && faulty && r.Header.Get("Idempotency-Key") != "":
		status, text = send(s, id, body)
	case a.mode == "leaks-on-repeat" && faulty:
		status, text = send(a.pickPermitted(true), id, body)
	case a.mode == "sends-twice" && faulty:
		other, _ := a.pick()
		status, text = send(other, id, body)
	case a.mode == "refuses-what-ran" && faulty:
		status = http.StatusServiceUnavailable
	case a.mode == "answers-late" && faulty:
		time.Sleep(3 * time.Second)
	}
	w.WriteHeader(status)
	_, _ = w.Write(text) // fails only if the client has disconnected
}

// clientDeadline returns when the client of a request stops waiting. The fake has to answer by then although a connection may come
// up late: the kernel repeats a SYN that a partition dropped only after a second.
func clientDeadline(r *http.Request) time.Time {
	timeout, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil {
		panic(err)
	}
	return time.Now().Add(time.Duration(timeout * float64(time.Second)))
}

// retained is the memory that mode "hoards" allocates.
var retained []byte
