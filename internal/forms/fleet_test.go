package forms

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/startup"
)

// Tests of the messages that the processes of a fleet exchange.

// Each kind of frame between an agent and its hub encodes to the same bytes, and decodes from them.
func TestHubFramesKeepTheirBytes(t *testing.T) {
	frames := []struct {
		name string
		f    frame.Frame
	}{
		{"hello", frame.Frame{Hello: filled[frame.Hello]()}},
		{"welcome", frame.Frame{Welcome: filled[frame.Welcome]()}},
		{"busy", frame.Frame{Busy: filled[frame.Busy]()}},
		{"state", frame.Frame{State: filled[frame.State]()}},
		{"facts", frame.Frame{Gossip: []byte{1, 2, 3}}},
		{"echo", frame.Frame{Echo: filled[frame.Echo]()}},
		{"bye", frame.Frame{Leave: true}},
		{"sure", frame.Frame{QuotaConfirmed: true}},
		{"all", *filled[frame.Frame]()},
	}
	for _, c := range frames {
		t.Run(c.name, func(t *testing.T) {
			data, err := frame.Encode(&c.f)
			if err != nil {
				t.Fatal(err)
			}
			goldenHex(t, "frame-"+c.name+".hex", data)
			got, err := frame.Read(bytes.NewReader(storedHex(t, "frame-"+c.name+".hex")))
			if err != nil {
				t.Fatal(err)
			}
			equal(t, "read back", *got, c.f)
		})
	}
	equal(t, "path and protocol", []string{frame.Path, frame.Protocol}, []string{"/hub", "martenbeam-hub"})
}

// A gossip message with one entry of each kind encodes to the same bytes, and decodes from them. The bodies with an applied
// version or a fleet size decode to the same values.
func TestGossipMessageKeepsItsBytes(t *testing.T) {
	applied := documents.AppliedVersion{Version: 7, Digests: []string{"d1", "d2"}}
	fleetSize := hub.FleetSize{Attached: 30, Starting: 20, Dead: 10}
	names, err := cbor.Marshal([]string{"n1", "n2"})
	if err != nil {
		t.Fatal(err)
	}
	m := filled[gossip.Message]()
	m.Entries = nil
	for i, f := range []struct {
		kind gossip.Kind
		body []byte
	}{
		{gossip.ListServiceLoad, storedHex(t, "body-service.hex")}, {gossip.LatencyRow, storedHex(t, "body-distance.hex")},
		{gossip.ResidencyVersion, applied.MarshalBody()},
		{gossip.DeadProcesses, names}, {gossip.SettingsVersion, applied.MarshalBody()}, {gossip.FleetSize, fleetSize.MarshalBody()},
	} {
		one := *filled[gossip.Entry]()
		one.Kind, one.Body, one.Seq = f.kind, f.body, uint64(100+i)
		m.Entries = append(m.Entries, one)
	}
	data, err := gossip.EncodeMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	goldenHex(t, "facts.hex", data)
	got, err := gossip.DecodeMessage(storedHex(t, "facts.hex"))
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, m)
	if s, ok := documents.ParseAppliedVersion(got.Entries[2].Body); !ok {
		t.Error("the body of the residency version does not parse")
	} else {
		equal(t, "applied version", s, applied)
	}
	c, err := hub.ParseFleetSize(got.Entries[5].Body)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "fleet size", c, fleetSize)
	var kinds []string
	for k := gossip.ListServiceLoad; k <= gossip.FleetSize; k++ {
		kinds = append(kinds, k.String())
	}
	equal(t, "kinds", kinds, []string{"service", "distance", "residency", "gone", "settings", "census"})
}

// The entry with which an agent publishes the list service's load, and the aggregate that a hub publishes, keep their bytes.
func TestServiceLoadKeepsItsBytes(t *testing.T) {
	store := gossip.New("n1", 5, gossip.DefaultAgeBounds, nil)
	p := startup.New(startup.Config{Rate: 40, HasPeers: func() bool { return true }, Store: store})
	p.RecordAttempt(time.Millisecond, true, 9)
	entries := store.Entries(gossip.ListServiceLoad)
	if len(entries) != 1 {
		t.Fatalf("got %d entries of the list service's load, want 1", len(entries))
	}
	goldenHex(t, "body-service.hex", entries[0].Body)
	entries[0].Body = storedHex(t, "body-service.hex")
	var sums [][]byte
	var subjects []string
	for _, s := range startup.Aggregate(entries) {
		sums, subjects = append(sums, s.Body), append(subjects, s.Subject)
	}
	equal(t, "subjects", subjects, []string{"lists", "lists refused"})
	goldenHex(t, "body-service-sum.hex", bytes.Join(sums, nil))
}

// A row of the latency matrix encodes to the same bytes, and Row returns the age of the oldest pair in the row.
func TestLatencyRowKeepsItsBytes(t *testing.T) {
	m := latency.Matrix{
		latency.Pair{A: "a", B: "b"}: {RTT: 1500 * time.Microsecond, Jitter: 300 * time.Microsecond, Loss: 0.25, Observers: 5,
			Age: time.Second},
		latency.Pair{A: "a", B: "c"}: {RTT: 2500 * time.Microsecond, Jitter: 400 * time.Microsecond, Loss: 0.5, Observers: 4,
			Age: 2 * time.Second},
	}
	body, age := m.Row("a", time.Minute)
	goldenHex(t, "body-distance.hex", body)
	equal(t, "age", age, 2*time.Second)
}

// The reply to a latency probe repeats the probe's label and nonce.
func TestLatencyProbeReplyKeepsItsBytes(t *testing.T) {
	var sent []byte
	write := func(data []byte, _ netip.AddrPort) (time.Time, error) {
		sent = bytes.Clone(data)
		return time.Now(), nil
	}
	p := latency.New(latency.Config{Name: "n1", Site: "a", Label: "fleet", Send: write})
	probe := append([]byte{member.ProbeByte, 1}, storedHex(t, "datagram-label.hex")...)
	probe = append(probe, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0)
	// The probe waited for two hours, which exceeds the range of the reply's processing time.
	p.HandleDatagram(probe, netip.MustParseAddrPort("127.0.0.1:1"), time.Now().Add(-2*time.Hour))
	goldenHex(t, "datagram-reply.hex", sent)
}

// The metadata that a member publishes with its name encodes to the same bytes, and decodes from them.
func TestMemberMetaKeepsItsBytes(t *testing.T) {
	data, err := cbor.Marshal(filled[member.Meta]())
	if err != nil {
		t.Fatal(err)
	}
	goldenHex(t, "meta.hex", data)
	var got member.Meta
	if err := cbor.Unmarshal(storedHex(t, "meta.hex"), &got); err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, *filled[member.Meta]())
}

// The document that a process serves over HTTP and a hub's report on settings keep their JSON form.
func TestDocumentsAndReportsOverHTTPKeepTheirFormat(t *testing.T) {
	document := &documents.Document{Holder: holder{}}
	w := httptest.NewRecorder()
	document.Serve(w, "d1")
	golden(t, "text.json", w.Body.Bytes())
	goldenJSON(t, "hub-settings-report.json", filled[hub.SettingsReport]())
	got := &hub.SettingsReport{}
	if err := json.Unmarshal(stored(t, "hub-settings-report.json"), got); err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, filled[hub.SettingsReport]())
}

type holder struct{}

func (holder) Apply(int64, string) error         { return nil }
func (holder) Text(string) (int64, string, bool) { return 12, "version = 12\n", true }

// A line of a fleet's trace keeps its keys and values. The test sets the time to 0, since it differs in each run.
func TestTraceLinesKeepTheirFormat(t *testing.T) {
	var b bytes.Buffer
	trace := gossip.Trace{W: &b}
	f := *filled[gossip.Entry]()
	f.Kind = gossip.FleetSize
	trace.Use(gossip.Use{Entry: f, Published: true, AgeAtUse: 1500 * time.Microsecond})
	trace.Use(gossip.Use{Entry: f, AgeAtUse: 2500 * time.Microsecond})
	var out []byte
	for line := range bytes.Lines(b.Bytes()) {
		var v map[string]any
		if err := json.Unmarshal(line, &v); err != nil {
			t.Fatal(err)
		}
		if at, ok := v["at"].(float64); !ok || at <= 0 {
			t.Errorf("key at: got %v, want a positive number", v["at"])
		}
		v["at"] = 0
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		out = append(append(out, text...), '\n')
	}
	golden(t, "trace.jsonl", out)
}

// Each of the six kinds of gossip entry has an age bound.
func TestGossipEntriesHaveAgeBounds(t *testing.T) {
	if n := reflect.ValueOf(gossip.DefaultAgeBounds).Len(); n != 6 {
		t.Errorf("got %d age bounds, want 6", n)
	}
}
