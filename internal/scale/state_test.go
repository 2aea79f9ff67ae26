package scale

// Check that every agent has the expected state.

import (
	"cmp"
	"fmt"
	"strings"
	"testing"

	"martenbeam/internal/scale/simagent"
)

// stateReporter is an agent or a fake agent with a state.
type stateReporter interface{ State() simagent.State }

// missing describes the first difference between an agent's state and the wanted state; "" if there is none.
func missing(reporter stateReporter, want simagent.State) string {
	state := reporter.State()
	switch {
	case state.Members != want.Members:
		return fmt.Sprintf("%d members of %d", state.Members, want.Members)
	case state.Quota < want.Quota*0.999 || state.Quota > want.Quota*1.001:
		return fmt.Sprintf("a part of %v, not %v", state.Quota, want.Quota)
	case state.MeasuredZones < want.MeasuredZones:
		return fmt.Sprintf("round trips to %d zones of %d", state.MeasuredZones, want.MeasuredZones)
	case state.Policy != want.Policy:
		return fmt.Sprintf("policy %d, not %d", state.Policy, want.Policy)
	case state.List != want.List:
		return fmt.Sprintf("list %d, not %d", state.List, want.List)
	case state.Settings != want.Settings:
		return fmt.Sprintf("settings %d, not %d", state.Settings, want.Settings)
	}
	return ""
}

// countLagging returns the number of agents without the wanted state, and what the first of these agents lacks.
func countLagging[K stateReporter](list []K, want simagent.State) (n int, first string) {
	for i, reporter := range list {
		if reason := missing(reporter, want); reason != "" {
			if n++; n == 1 {
				first = fmt.Sprintf("agent %d: %s", i, reason)
			}
		}
	}
	return n, first
}

// fixedState is a fake agent with a given state.
type fixedState simagent.State

func (s fixedState) State() simagent.State { return simagent.State(s) }

// countLagging finds an agent with an old version of a document or with any other difference from the wanted state, and names
// the difference.
func TestCountLaggingNamesTheFirstDifference(t *testing.T) {
	want := simagent.State{Members: 3, Quota: 1. / 3, MeasuredZones: 7, Policy: 2, List: 42, Settings: 5}
	if n, reason := countLagging([]fixedState{fixedState(want), fixedState(want)}, want); n != 0 {
		t.Errorf("got %d lagging agents, want none: %s", n, reason)
	}
	for wantReason, alter := range map[string]func(*simagent.State){
		"policy 1, not 2":             func(s *simagent.State) { s.Policy = 1 },
		"list 41, not 42":             func(s *simagent.State) { s.List = 41 },
		"2 members of 3":              func(s *simagent.State) { s.Members = 2 },
		"4 members of 3":              func(s *simagent.State) { s.Members = 4 },
		"a part of 0.1, not 0.3333":   func(s *simagent.State) { s.Quota = 0.1 },
		"round trips to 6 zones of 7": func(s *simagent.State) { s.MeasuredZones = 6 },
		"settings 4, not 5":           func(s *simagent.State) { s.Settings = 4 },
	} {
		lagging := want
		alter(&lagging)
		n, reason := countLagging([]fixedState{fixedState(want), fixedState(lagging)}, want)
		if n != 1 || !strings.HasPrefix(reason, "agent 1: "+wantReason) {
			t.Errorf("%s: got %d lagging agents, reason %q; want agent 1 with the reason of this case", wantReason, n, reason)
		}
	}
}

// expectedState returns the state that each running agent has to reach.
func (f *testFleet) expectedState() simagent.State {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	s := simagent.State{Members: f.running() + f.realAgents, Quota: 1 / float64(f.n+f.realAgents),
		Policy: f.policy, List: f.service.version}
	if f.hubs != nil {
		s.Settings = f.hubs.settingsVersion
	}
	if f.matrix {
		s.MeasuredZones = cmp.Or(f.expectedZones, len(zones))
		if f.hubs != nil {
			s.MeasuredZones = len(zones) - 1 // a zone has only one hub, which measures no round trip within the zone
		}
	}
	return s
}
