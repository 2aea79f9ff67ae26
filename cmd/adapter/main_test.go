package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

const openInstance = `{"msg":"OpenInstance","Agent":3,"RandomSeed":5,"Facts":{"Balancers":1,"Me":0,"TickMs":5,` +
	`"Profiles":[{"AimMs":400,"DeadlineMs":1500,"Worth":1,"Semantics":"once","WindowMs":0}],` +
	`"PolicyLimits":{"TryLimit":2},"Contract":{"ColdFrom":1}}}`
const endpointLists = `{"msg":"DefineList","Sheet":0,"Items":[{"Backend":"10.0.0.1:80","Availability":"on"}]}
{"msg":"View","Agent":3,"How":"disk","Index":1,"Sheet":0}`

// batchOf returns the text of a batch that contains lines. clock is the simulation's time in milliseconds.
func batchOf(clock string, lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":" + clock + "}\n" + strings.Join(append(lines, ""), "\n") + "{\"msg\":\"End\"}\n"
}

// The reply to each batch consists of the actions of its instances.
func TestBatchesGetReplies(t *testing.T) {
	const submit = `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":700}`
	const tryMessage = `{"msg":"Try","Agent":3,"Job":"d0","Backend":"10.0.0.1:80"}` + "\n"
	const eor = "{\"msg\":\"Eor\"}\n"
	ended := func(outcome, done string) string {
		return `{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"` + outcome +
			`","WaitTimeMs":20,"Backend":"10.0.0.1:80","SendNo":0` + done + `}`
	}
	tests := []struct{ name, in, want string }{
		{"empty input", "", ""},
		{"an empty batch", batchOf("1"), eor},
		{"request sent", batchOf("1", openInstance, endpointLists) + batchOf("6", submit), eor + tryMessage + eor},
		{"served", batchOf("1", openInstance, endpointLists, submit) + batchOf("26", ended("pass", `,"Ended":true`)), tryMessage + eor + eor},
		{"failed", batchOf("1", openInstance, endpointLists, submit) + batchOf("26", ended("fault", "")),
			tryMessage + eor + `{"msg":"DropRequest","Agent":3,"Job":"d0"}` + "\n" + eor},
		{"instance retired and opened again in one batch has no state", batchOf("1", openInstance, endpointLists, submit) +
			batchOf("6", `{"msg":"Retire","Agent":3}`, openInstance, endpointLists) + batchOf("26", ended("fault", "")),
			tryMessage + eor + eor + eor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(strings.NewReader(tt.in), &out); err != nil {
				t.Fatal(err)
			}
			if out.String() != tt.want {
				t.Errorf("got\n%swant\n%s", out.String(), tt.want)
			}
		})
	}
}

// Invalid input is an error that names its line, and the batch that contains it gets no reply.
func TestInvalidInputIsRejectedWithoutOutput(t *testing.T) {
	var reopened []string // requests, each followed by a reopening of the instance, which steps the old one
	for i := range 2000 {
		reopened = append(reopened, fmt.Sprintf(`{"msg":"Submit","Agent":3,"Job":"m%d","TierClass":0,"GraceMs":700}`, i), openInstance,
			endpointLists)
	}
	tests := []struct{ name, in, want string }{
		{"instance not open", batchOf("1", `{"msg":"Reminder","Agent":8,"Cookie":1}`), "line 2: instance 8 is not open"},
		{"invalid settings", batchOf("1", strings.Replace(openInstance, `"Balancers":1`, `"Balancers":0`, 1)), "Balancers: 0"},
		{"unknown class", batchOf("1", openInstance, endpointLists,
			`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":700}`),
			"line 5: Submit: TierClass: unknown class 1"},
		{"instance not open, after many actions of another one", batchOf("1", append([]string{openInstance, endpointLists},
			append(reopened, `{"msg":"Reminder","Agent":8,"Cookie":1}`)...)...), "instance 8 is not open"},
		{"malformed line", batchOf("1", "{"), "line 2: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(tt.in), &out)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
			if out.Len() > 0 {
				t.Errorf("wrote %q, want no output", out.String())
			}
		})
	}
}

// A panic of the decision code is reported with its text, and the batch still gets a reply.
func TestPanicIsReportedAsBroken(t *testing.T) {
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	batch := &wire.Batch{Events: []wire.Event{{Agent: 2, Event: balancer.Request{ID: "x"}}}}
	instances := map[int]stepper{2: stepFunc(func(time.Duration, []balancer.Event) []balancer.Action { panic("no such thing") })}
	if err := processBatch(batch, instances, w); err != nil {
		t.Fatal(err)
	}
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `{"msg":"Broken","Agent":2,"Msg":"panic: no such thing"}` + "\n{\"msg\":\"Eor\"}\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

type stepFunc func(time.Duration, []balancer.Event) []balancer.Action

func (f stepFunc) Step(now time.Duration, events []balancer.Event) []balancer.Action {
	return f(now, events)
}
