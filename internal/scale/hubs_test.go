package scale

// The hubs of a fleet, each in a separate process.

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet/hubclient"
	"martenbeam/internal/scale/simagent"
)

// builtProgram returns the path of the built program. It builds the program once for all tests.
func builtProgram(t testing.TB) string {
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

var buildProgram = sync.OnceValues(func() (string, error) {
	program := filepath.Join(scratchDir, "martenbeam")
	if text, err := exec.Command("go", "build", "-o", program, "martenbeam/cmd/martenbeam").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return program, nil
})

var scratchDir string // temporary directory for all tests, set by TestMain

func TestMain(m *testing.M) {
	var err error
	if scratchDir, err = os.MkdirTemp("", "scale"); err != nil {
		panic(err) // no test can run
	}
	if err := os.Setenv("TMPDIR", scratchDir); err != nil { // so that child processes put their files into scratchDir
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(scratchDir)
	os.Exit(code)
}

// hubProcesses holds the hubs of a fleet, one per zone, each in a separate process. The first hub is the source of the
// residency policy and the settings.
type hubProcesses struct {
	program, dir    string
	label           string
	service         string
	maxMembers      int
	matrix          bool
	settingsVersion int64 // the latest version of the settings

	addrs     []string // by zone
	processes []*exec.Cmd
}

// startHubs starts a hub in each zone, the first with a policy and settings. The test's cleanup kills the hubs.
func startHubs(t testing.TB, fleet *testFleet) *hubProcesses {
	t.Helper()
	h := &hubProcesses{program: builtProgram(t), dir: t.TempDir(), label: fleet.label, service: fleet.service.addr,
		maxMembers: fleet.n + fleet.realAgents, matrix: fleet.matrix,
		addrs: make([]string, len(zones)), processes: make([]*exec.Cmd, len(zones))}
	t.Cleanup(func() {
		for i := range zones {
			h.kill(i)
		}
	})
	h.writePolicy(t, fleet.policy)
	h.writeSettings(t)
	for i := range zones {
		h.start(t, i)
		fleet.net.SetZone(h.addrs[i], zones[i])
	}
	return h
}

// file returns the path of a file in the directory of the hubs.
func (h *hubProcesses) file(name string) string { return filepath.Join(h.dir, name) }

// config returns the text of hub i's configuration file.
func (h *hubProcesses) config(i int) string {
	quoted := func(list []string) string {
		var b []string
		for _, s := range list {
			if s != "" {
				b = append(b, strconv.Quote(s))
			}
		}
		return "[" + strings.Join(b, ", ") + "]"
	}
	listen := h.addrs[i]
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	seeds := append(append([]string{}, h.addrs[:i]...), h.addrs[i+1:]...)
	text := fmt.Sprintf("name = \"hub-%s\"\nzone = %q\nlabel = %q\nlisten = %q\nseeds = %s\n"+
		"most = %d\nmatrix = %t\ndiscovery = %q\nzones = %s\n",
		zones[i], zones[i], h.label, listen, quoted(seeds), h.maxMembers, h.matrix, h.service, quoted(zones))
	if i == 0 {
		text += fmt.Sprintf("[settings]\nfile = %q\n[residency]\nfile = %q\n", h.file("settings.toml"), h.file("policy.toml"))
	}
	return text
}

var listeningLine = regexp.MustCompile(`listening.*address=(\S+)`)

// start starts the process of hub i, at its former address if it had one, and waits until the hub listens.
func (h *hubProcesses) start(t testing.TB, i int) {
	t.Helper()
	name := h.file(zones[i])
	if err := os.WriteFile(name+".toml", []byte(h.config(i)), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(name + ".log")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(h.program, "hub", "--config", name+".toml")
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, h.dir
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	h.processes[i] = cmd
	for end := time.Now().Add(convergenceTimeout); ; time.Sleep(pollInterval) {
		text, err := os.ReadFile(name + ".log")
		if err != nil {
			t.Fatal(err)
		}
		if m := listeningLine.FindSubmatch(text); m != nil {
			h.addrs[i] = strings.Trim(string(m[1]), `"`)
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the hub did not listen within convergenceTimeout; log of the hub: %s", text)
		}
	}
}

// kill kills the process of hub i if it is running.
func (h *hubProcesses) kill(i int) {
	if cmd := h.processes[i]; cmd != nil {
		_ = cmd.Process.Kill() // fails only if the process has already ended
		_ = cmd.Wait()         // the error reports the kill
		h.processes[i] = nil
	}
}

// configured returns the hubs in the agents' configuration: all hubs, or only the first if firstOnly is set.
func (h *hubProcesses) configured(firstOnly bool) (list []hubclient.Hub) {
	for i, addr := range h.addrs {
		if i == 0 || !firstOnly {
			list = append(list, hubclient.Hub{Zone: zones[i], Region: zones[i][:1], Addr: addr})
		}
	}
	return list
}

// replaceFile replaces a file atomically.
func (h *hubProcesses) replaceFile(t testing.TB, name, text string) {
	t.Helper()
	file := h.file(name)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// writePolicy publishes a version of the residency policy at the first hub.
func (h *hubProcesses) writePolicy(t testing.TB, version int64) {
	h.replaceFile(t, "policy.toml", policyText(version))
}

// writeSettings publishes the next version of the settings at the first hub, and returns the version and the time.
func (h *hubProcesses) writeSettings(t testing.TB) (version int64, at time.Time) {
	h.settingsVersion++
	at = time.Now()
	h.replaceFile(t, "settings.toml", fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", h.settingsVersion, 2+h.settingsVersion%3))
	return h.settingsVersion, at
}

// changeWithDeadHub measures a change immediately after one hub was killed. The killed hub is never the change's source.
func (f *testFleet) changeWithDeadHub(r row, what simagent.Change, rng *rand.Rand) row {
	r.Case, r.Values = what.String()+", one of seven hubs dead", map[string]float64{}
	dead := 1 + rng.IntN(len(zones)-1)
	m := f.startMeter(false)
	f.hubs.kill(dead)
	version, at := f.makeChange(what)
	f.measurePropagation(what, version, at, allAgents, nil).addValues(r.Values, "")
	r.Void = m.end().void
	f.hubs.start(f.t, dead)
	return f.awaitRecovery(r)
}

// Only the first hub's configuration names documents, every hub's configuration names the other hubs as seeds, and
// listeningLine finds a hub's address in its log.
func TestHubConfigNamesItsSeedsAndAddress(t *testing.T) {
	h := &hubProcesses{label: "x", maxMembers: 3, dir: "/d", addrs: make([]string, len(zones))}
	h.addrs[0] = "127.0.0.1:7"
	if first, third := h.config(0), h.config(2); !strings.Contains(first, "[settings]") || strings.Contains(third, "[settings]") ||
		!strings.Contains(third, `seeds = ["127.0.0.1:7"]`) || !strings.Contains(third, `zone = "a3"`) ||
		!strings.Contains(first, `listen = "127.0.0.1:7"`) {
		t.Errorf("hub configurations lack expected keys, or have other keys.\nfirst hub:\n%s\nthird hub:\n%s", first, third)
	}
	line := []byte("level=INFO msg=hub step=listening name=h address=127.0.0.1:9\n")
	if m := listeningLine.FindSubmatch(line); !bytes.Equal(m[1], []byte("127.0.0.1:9")) {
		t.Errorf("address in the log line: got %s, want 127.0.0.1:9", m)
	}
}
