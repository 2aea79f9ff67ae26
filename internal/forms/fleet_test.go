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

// What processes of a fleet write to each other.

// Each kind of frame between an agent and its hub.
func TestHubFramesKeepTheirBytes(t *testing.T) {
	frames := []struct {
		name string
		f    frame.Frame
	}{
		{"hello", frame.Frame{Hello: filled[frame.Hello]()}},
		{"welcome", frame.Frame{Welcome: filled[frame.Welcome]()}},
		{"busy", frame.Frame{Busy: filled[frame.Busy]()}},
		{"state", frame.Frame{State: filled[frame.State]()}},
		{"facts", frame.Frame{Facts: []byte{1, 2, 3}}},
		{"echo", frame.Frame{Echo: filled[frame.Echo]()}},
		{"bye", frame.Frame{Bye: true}},
		{"sure", frame.Frame{Sure: true}},
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

// A message of facts with one of each kind, and the bodies that have a form of their own.
func TestGossipedFactsKeepTheirBytes(t *testing.T) {
	standing := documents.Standing{Version: 7, Digests: []string{"d1", "d2"}}
	census := hub.Census{Attached: 30, Starting: 20, Gone: 10}
	names, err := cbor.Marshal([]string{"n1", "n2"})
	if err != nil {
		t.Fatal(err)
	}
	m := filled[gossip.Message]()
	m.Facts = nil
	for i, f := range []struct {
		kind gossip.Kind
		body []byte
	}{
		{gossip.Service, storedHex(t, "body-service.hex")}, {gossip.Distance, storedHex(t, "body-distance.hex")}, {gossip.Residency, standing.Body()},
		{gossip.Gone, names}, {gossip.Settings, standing.Body()}, {gossip.Census, census.MarshalBody()},
	} {
		one := *filled[gossip.Fact]()
		one.Kind, one.Body, one.Seq = f.kind, f.body, uint64(100+i)
		m.Facts = append(m.Facts, one)
	}
	data, err := gossip.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	goldenHex(t, "facts.hex", data)
	got, err := gossip.Decode(storedHex(t, "facts.hex"))
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, m)
	if s, ok := documents.ParseStanding(got.Facts[2].Body); !ok {
		t.Error("the standing can't be read")
	} else {
		equal(t, "standing", s, standing)
	}
	c, err := hub.ParseCensus(got.Facts[5].Body)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, "census", c, census)
	var kinds []string
	for k := gossip.Service; k <= gossip.Census; k++ {
		kinds = append(kinds, k.String())
	}
	equal(t, "kinds", kinds, []string{"service", "distance", "residency", "gone", "settings", "census"})
}

// The load of the list service, as one who called it tells it and as a hub sums it up.
func TestServiceLoadKeepsItsBytes(t *testing.T) {
	facts := gossip.New("n1", 5, gossip.DefaultBounds, nil)
	p := startup.New(startup.Config{Rate: 40, Met: func() bool { return true }, Facts: facts})
	p.Answered(time.Millisecond, true, 9)
	told := facts.Now(gossip.Service)
	if len(told) != 1 {
		t.Fatalf("%d facts", len(told))
	}
	goldenHex(t, "body-service.hex", told[0].Body)
	told[0].Body = storedHex(t, "body-service.hex")
	var sums [][]byte
	var subjects []string
	for _, s := range startup.Sum(told) {
		sums, subjects = append(sums, s.Body), append(subjects, s.Subject)
	}
	equal(t, "subjects", subjects, []string{"lists", "lists refused"})
	goldenHex(t, "body-service-sum.hex", bytes.Join(sums, nil))
}

// A row of round trips.
func TestDistanceRowKeepsItsBytes(t *testing.T) {
	m := latency.Matrix{
		latency.Pair{A: "a", B: "b"}: {Trip: 1500 * time.Microsecond, Spread: 300 * time.Microsecond, Loss: 0.25, Observers: 5, Age: time.Second},
		latency.Pair{A: "a", B: "c"}: {Trip: 2500 * time.Microsecond, Spread: 400 * time.Microsecond, Loss: 0.5, Observers: 4, Age: 2 * time.Second},
	}
	body, age := m.Row("a", time.Minute)
	goldenHex(t, "body-distance.hex", body)
	equal(t, "age", age, 2*time.Second)
}

// A datagram of round trips: an ask is answered with the same label and number.
func TestDistanceDatagramKeepsItsBytes(t *testing.T) {
	var sent []byte
	write := func(data []byte, _ netip.AddrPort) (time.Time, error) {
		sent = bytes.Clone(data)
		return time.Now(), nil
	}
	p := latency.New(latency.Config{Self: "n1", Site: "a", Label: "fleet", Write: write})
	ask := append([]byte{member.ProbeByte, 1}, storedHex(t, "datagram-label.hex")...)
	ask = append(ask, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0)
	p.Heard(ask, netip.MustParseAddrPort("127.0.0.1:1"), time.Now().Add(-2*time.Hour)) // dwelt for longer than the field holds
	goldenHex(t, "datagram-reply.hex", sent)
}

// What a member says of itself with its name.
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

// The text that a process hands out, and what a hub reports of settings.
func TestTextsAndReportsOverHTTPKeepTheirForm(t *testing.T) {
	k := &documents.Kind{Holder: holder{}}
	w := httptest.NewRecorder()
	k.Serve(w, "d1")
	golden(t, "text.json", w.Body.Bytes())
	goldenJSON(t, "hub-settings-report.json", filled[hub.Report]())
	got := &hub.Report{}
	if err := json.Unmarshal(stored(t, "hub-settings-report.json"), got); err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, filled[hub.Report]())
}

type holder struct{}

func (holder) Take(int64, string) error          { return nil }
func (holder) Text(string) (int64, string, bool) { return 12, "version = 12\n", true }

// A line of a fleet's trace, but for the time.
func TestTraceLinesKeepTheirForm(t *testing.T) {
	var b bytes.Buffer
	trace := gossip.Trace{W: &b}
	f := *filled[gossip.Fact]()
	f.Kind = gossip.Census
	trace.Use(gossip.Use{Fact: f, Told: true, Now: 1500 * time.Microsecond})
	trace.Use(gossip.Use{Fact: f, Now: 2500 * time.Microsecond})
	var out []byte
	for line := range bytes.Lines(b.Bytes()) {
		var v map[string]any
		if err := json.Unmarshal(line, &v); err != nil {
			t.Fatal(err)
		}
		if at, ok := v["at"].(float64); !ok || at <= 0 {
			t.Errorf("at %v", v["at"])
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

// The kinds of fact have bounds, each of them.
func TestFactsHaveBounds(t *testing.T) {
	if n := reflect.ValueOf(gossip.DefaultBounds).Len(); n != 6 {
		t.Errorf("%d bounds", n)
	}
}
