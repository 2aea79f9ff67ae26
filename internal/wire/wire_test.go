package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
)

const ms = time.Millisecond

// batchOf returns the text of a batch with the time 1500.25 ms that contains lines.
func batchOf(lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":1500.25}\n" + strings.Join(lines, "\n") + "\n{\"msg\":\"End\"}\n"
}

// Each message is decoded into its event; unknown fields are ignored.
func TestEventsAreDecoded(t *testing.T) {
	const list = `{"msg":"DefineList","Sheet":3,"Items":[` +
		`{"Backend":"10.0.0.1:80","Availability":"on","Rating":1.5,"Block":2,"LaunchedMs":900,"Sku":1,"Dc":1},` +
		`{"Backend":"10.0.0.2:80","Availability":"fading"},{"Backend":"10.0.0.3:80","Availability":"off"}]}`
	entries := []balancer.Backend{
		{ID: "10.0.0.1:80", Weight: 1.5, Cell: 2, Started: 900 * ms, Kind: 1, Zone: 1},
		{ID: "10.0.0.2:80", State: balancer.Draining}, {ID: "10.0.0.3:80", State: balancer.Removed}}
	tests := []struct {
		line string
		want balancer.Event
	}{
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"WorkHintMs":12,"StateBits":3}`,
			balancer.Request{ID: "d0", Class: 1, TimeRemaining: 240500 * time.Microsecond, Work: 12 * ms, ClientRetry: true}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"WorkHintMs":12,"Later":{"x":1}}`,
			balancer.Request{ID: "d0", TimeRemaining: 240 * ms}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"Item":"91f03b7c55d20a64"}`,
			balancer.Request{ID: "d0", TimeRemaining: 240 * ms, AffinityKey: AffinityKey("91f03b7c55d20a64")}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"pass","WaitTimeMs":18.5,"Backend":"b","SendNo":2,"Ended":true,"Usage":{"backlog":4,"recent_ms":7,"errors_per_s":0.5}}`,
			balancer.Outcome{Request: "d0", Attempt: 2, Backend: "b", Latency: 18500 * time.Microsecond, Done: true,
				Load: balancer.Load{Valid: true, Queue: 4, Service: 7 * ms, ErrorsPerSec: 0.5}}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"stale_send","WaitTimeMs":0,"Backend":"b","SendNo":0}`,
			balancer.Outcome{Request: "d0", Backend: "b", Result: balancer.NotSent, Load: ParseLoad(nil)}},
		{`{"msg":"Expired","Agent":3,"Job":"d0"}`, balancer.Abandoned{Request: "d0"}},
		{`{"msg":"Reminder","Agent":3,"Cookie":9223372036854775807}`, balancer.TimerFired{Token: 1<<63 - 1}},
		{`{"msg":"Streaming","Agent":3,"Job":"d0","WaitTimeMs":1,"SendNo":1,"Backend":"b"}`,
			balancer.ResponseStarted{Request: "d0", Attempt: 1}},
		{`{"msg":"Peer","Agent":3,"From":2,"Msg":"68692037"}`,
			balancer.GossipReceived{From: 2, Data: []byte("hi 7")}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"no_route","WaitTimeMs":2}`,
			balancer.ProbeResult{Backend: "b", Result: balancer.ConnectFailed, Latency: 2 * ms, Load: ParseLoad(nil)}},
		{`{"msg":"View","Agent":3,"How":"error","Index":4,"Sheet":0}`, balancer.EndpointUpdate{Kind: balancer.UpdateFailed}},
		{list + "\n" + `{"msg":"View","Agent":3,"How":"diff","Index":4,"Sheet":3}`,
			balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: entries}},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(batchOf(tt.line))).Next()
		if err != nil {
			t.Errorf("%s: %v", tt.line, err)
			continue
		}
		if b.Now != 1500250*time.Microsecond || len(b.Events) != 1 || b.Events[0].Agent != 3 {
			t.Errorf("%s: got batch %+v, want time 1.50025s and one event of instance 3", tt.line, b)
			continue
		}
		if got := b.Events[0].Event; !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", tt.line, got, tt.want)
		}
	}
}

const settingsJSON = `{"Balancers":3,"Me":1,"Zone":2,"CountedBy":"work","MembershipMode":"subscribe","TickMs":5,"Later":[1],
"Profiles":[{"Name":"x","AimMs":400,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"by_key","Group":"cell","WindowMs":3000}],
"PolicyLimits":{"TryLimit":4,"SecondCopies":true,"Peers":true,"MaxRetryAfterMs":1500},
"Contract":{"ColdFrom":0.16,"DrainGraceMs":500,"FallMs":1000,"FallMultiple":2.5,"RampTimeMs":20000,"AskWithinMs":10000,"GraceToAnswerMs":20},
"Goal":{"Whole":0.55,"WorstClass":0.3,"WorstWindow":0.15},"Prices":{"CrossZone":0.02},"FamilyInfo":{"WarmKeys":true}}`

// The settings object of OpenInstance is translated key by key.
func TestOpenInstanceSettingsAreDecoded(t *testing.T) {
	oneLine := strings.ReplaceAll(settingsJSON, "\n", "")
	b, err := NewReader(strings.NewReader(batchOf(`{"msg":"OpenInstance","Agent":1,"RandomSeed":77,"Facts":` + oneLine + `}`))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := balancer.Settings{
		Balancers: 3, Self: 1, Zone: 2, WeightByWork: true, Subscribe: true, Tick: 5 * ms,
		Classes: []balancer.Class{{LatencyObjective: 400 * ms, Deadline: 1500 * ms, PriorityWeight: 3, LateWeight: 0.25,
			Idempotency: balancer.IdempotencyKey, Scope: balancer.ScopeCell, DedupWindow: 3 * time.Second}},
		MaxAttempts: 4, HedgingAllowed: true, GossipAllowed: true, MaxRetryAfter: 1500 * ms,
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, PollInterval: 10 * time.Second, InitialCapacity: 0.16,
		SlowStartWindow: 20 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second,
		GoalOverall: 0.55, GoalWorstWindow: 0.15, GoalWorstClass: 0.3, CrossZoneCost: 0.02, KeyAffinity: true,
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 77 || !reflect.DeepEqual(o.Settings, want) {
		t.Errorf("got %+v\nwant %+v", o, want)
	}
}

// Malformed input is an error that names its line.
func TestMalformedInputIsRejected(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"not JSON", batchOf("{oops"), "line 2: "},
		{"unknown message", batchOf(`{"msg":"Nope","Agent":1}`), "line 2: Nope: unknown message"},
		{"missing field", batchOf(`{"msg":"Submit","Agent":1,"Job":"x"}`), "line 2: Submit: missing"},
		{"missing instance", batchOf(`{"msg":"Expired","Job":"x"}`), "line 2: Expired: missing Agent"},
		{"field of the wrong type", batchOf(`{"msg":"Expired","Agent":"one","Job":"x"}`), "line 2: "},
		{"undefined list", batchOf(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`), "line 2: View: Sheet 5 is not defined"},
		{"unknown outcome", batchOf(`{"msg":"Ended","Agent":1,"Job":"x","Outcome":"huh","WaitTimeMs":1,"Backend":"b","SendNo":0}`), `unknown Outcome "huh"`},
		{"unknown semantics", batchOf(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Profiles":[{"Semantics":"maybe"}]}}`),
			`Profiles[0].Semantics: unknown kind "maybe"`},
		{"input ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", "line 1: the input ends within a batch"},
		{"frame without clock", "{\"msg\":\"Frame\"}\n", "line 1: Frame: missing ClockMs"},
		{"event outside a batch", "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"x\"}\n", "outside a batch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

// Each action is encoded as its message.
func TestActionsAreEncoded(t *testing.T) {
	tests := []struct {
		action balancer.Action
		want   string
	}{
		{balancer.Send{Request: "d0", Backend: "b", Timeout: 80500 * time.Microsecond},
			`{"msg":"Try","Agent":4,"Job":"d0","Backend":"b","PatienceMs":80.5}`},
		{balancer.Send{Request: "d0", Backend: "b"}, `{"msg":"Try","Agent":4,"Job":"d0","Backend":"b"}`},
		{balancer.Cancel{Request: "d0", Attempt: 2}, `{"msg":"Cancel","Agent":4,"Job":"d0","SendNo":2}`},
		{balancer.Refuse{Request: "d0", RetryAfter: 5 * ms}, `{"msg":"SayNo","Agent":4,"Job":"d0","WaitMs":5}`},
		{balancer.Refuse{Request: "d0"}, `{"msg":"SayNo","Agent":4,"Job":"d0"}`},
		{balancer.Fail{Request: `q"\`}, `{"msg":"DropRequest","Agent":4,"Job":"q\"\\"}`},
		{balancer.SetTimer{After: ms / 4, Token: 9}, `{"msg":"SetTimer","Agent":4,"SpanMs":0.25,"Cookie":9}`},
		{balancer.Probe{Backend: "b"}, `{"msg":"Test","Agent":4,"Backend":"b"}`},
		{balancer.ZoneStateChanged{Zone: 1, FailedOver: true, ByGossip: true}, `{"msg":"Trace","Agent":4,"Msg":"zone 1 is left, as others told"}`},
		{balancer.ZoneStateChanged{Zone: 1}, `{"msg":"Trace","Agent":4,"Msg":"zone 1 is used again"}`},
		{balancer.SendGossip{To: 2, Data: []byte("hi 7")}, `{"msg":"WritePeer","Agent":4,"Whom":2,"Msg":"68692037"}`},
		{balancer.Subscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":true}`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		if err := w.Actions(4, []balancer.Action{tt.action}); err != nil {
			t.Fatal(err)
		}
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		if want := tt.want + "\n{\"msg\":\"Eor\"}\n"; out.String() != want {
			t.Errorf("%#v:\n got %swant %s", tt.action, out.String(), want)
		}
	}
}

// Lines and batches of several megabytes are read completely.
func TestLongLinesAndBatchesAreRead(t *testing.T) {
	var in strings.Builder
	for i := range 50000 {
		fmt.Fprintf(&in, "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"%016x\"}\n", i)
	}
	pad := `{"msg":"Expired","Agent":1,"Job":"x","Later":"` + strings.Repeat("y", 3<<20) + `"}`
	b, err := NewReader(strings.NewReader(batchOf(in.String() + pad))).Next()
	if err != nil || len(b.Events) != 50001 {
		t.Fatalf("error %v, read %d events, want 50001", err, len(b.Events))
	}
}
