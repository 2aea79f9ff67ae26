package forms

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/config"
	"martenbeam/internal/wire"
)

// Tests of the configuration files that operators write, and of the platform's JSON form.

// The configuration files of agents and hubs keep their keys. The defaults that `config print` prints keep their text.
func TestConfigurationsKeepTheirKeys(t *testing.T) {
	goldenKeys[config.Config](t, "agent-keys.txt")
	goldenKeys[config.Hub](t, "hub-keys.txt")
	golden(t, "agent-defaults.toml", []byte(config.Default))
	golden(t, "hub-defaults.toml", []byte(config.DefaultHub))
}

// A complete agent file converts to the same platform form and to the same shared settings.
func TestAgentFileConvertsToThePlatformForm(t *testing.T) {
	c, err := config.Parse("agent.toml", string(stored(t, "agent.toml")))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := c.Platform()
	if err != nil {
		t.Fatal(err)
	}
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		t.Fatal(err)
	}
	goldenJSON(t, "agent-platform.json", v)
	shared, err := config.ReadExtension(raw)
	if err != nil {
		t.Fatal(err)
	}
	goldenJSON(t, "agent-shared.json", shared)
}

// ParseHub reads every key of a complete hub file, and rejects an unknown key.
func TestHubFileIsRead(t *testing.T) {
	h, err := config.ParseHub("hub.toml", string(stored(t, "hub.toml")))
	if err != nil {
		t.Fatal(err)
	}
	if h.Name != "hub1" || h.Label != "l2" || h.Listen != "127.0.0.1:3" || h.Advertise != "127.0.0.1:4" ||
		h.MaxAgents != 6 || h.ListRate != 7.5 ||
		h.AdmitRate != 8.5 || h.Trace != "trace9" || h.Settings.File != "testdata/settings.toml" || h.Settings.State != "state11" ||
		h.Residency.File != "testdata/policy.toml" || h.Residency.State != "state13" ||
		h.Residency.Bound.Duration() != 14*time.Second ||
		h.MaxAge["gone"].Duration() != 18*time.Second {
		t.Errorf("ParseHub: got %+v, want the values in testdata/hub.toml", h)
	}
	if _, err := config.ParseHub("hub.toml", "lable = \"x\"\n"); err == nil ||
		!strings.Contains(err.Error(), "hub.toml:1: lable: unknown key") {
		t.Errorf("unknown key: got error %v, want \"hub.toml:1: lable: unknown key\" in it", err)
	}
}

// Each key of the platform's configuration sets the same field.
func TestPlatformConfigurationKeepsItsKeys(t *testing.T) {
	c, err := load(stored(t, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	c.Settings, c.Site = balancer.Settings{}, wire.Site{}
	equal(t, "configuration", *c, agent.Config{Name: "agent-1", Listen: "127.0.0.1:2", Discovery: "127.0.0.1:3",
		AdminAddr: "127.0.0.1:4", Seed: 0x5, Cores: 6.5,
		MemoryMB: 77, MaxDescriptors: 888, DialFrom: "127.0.0.9", PeerListen: "127.0.0.1:10",
		Peers: []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"},
		CachedEndpoints: &discovery.EndpointList{Version: 14, Full: true, Endpoints: []discovery.Endpoint{
			{ID: "b15", Addr: "127.0.0.1:16", Zone: "a", Kind: "k", Cell: 17, State: "ready", Weight: 18.5, StartedAt: 19}}}})
}

func load(raw []byte) (*agent.Config, error) {
	return agent.Source{Name: "test", Getenv: func(string) string { return "" },
		Read: func() ([]byte, error) { return raw, nil }}.Load()
}

// A change to the value of any key in platform.json, settings included, changes the loaded configuration or makes Load
// fail. The test detects a key that Load ignores because the code has another name for it.
func TestNoPlatformKeyIsIgnored(t *testing.T) {
	raw := stored(t, "platform.json")
	before, err := load(raw)
	if err != nil {
		t.Fatal(err)
	}
	var leaves []string
	var walk func(v any, path string, set func(any))
	walk = func(v any, path string, set func(any)) {
		switch v := v.(type) {
		case map[string]any:
			for key, child := range v {
				walk(child, path+"."+key, func(x any) { v[key] = x })
			}
			return
		case []any:
			for i, child := range v {
				walk(child, fmt.Sprintf("%s[%d]", path, i), func(x any) { v[i] = x })
			}
			return
		}
		leaves = append(leaves, path)
	}
	var doc any
	if err := json.Unmarshal(raw, &doc); err != nil {
		t.Fatal(err)
	}
	walk(doc, "", nil)
	for _, leaf := range leaves {
		var doc any
		if err := json.Unmarshal(raw, &doc); err != nil {
			t.Fatal(err)
		}
		changeLeaf(doc, "", leaf)
		text, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if after, err := load(text); err == nil && reflect.DeepEqual(before, after) {
			t.Errorf("%s: a changed value does not change the loaded configuration", leaf)
		}
	}
	if len(leaves) < 70 {
		t.Errorf("got %d keys, want at least 70", len(leaves))
	}
}

// changeLeaf replaces the value of one leaf of a JSON document by another value of the same type.
func changeLeaf(v any, path, leaf string) {
	altered := func(x any) any {
		switch x := x.(type) {
		case bool:
			return !x
		case float64:
			return x + 1
		case string:
			return x + "x"
		}
		return x
	}
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			if path+"."+key == leaf {
				v[key] = altered(child)
			} else {
				changeLeaf(child, path+"."+key, leaf)
			}
		}
	case []any:
		for i, child := range v {
			if childPath := fmt.Sprintf("%s[%d]", path, i); childPath == leaf {
				v[i] = altered(child)
			} else {
				changeLeaf(child, childPath, leaf)
			}
		}
	}
}

// ParseSettings decodes each field of the start message's settings.
func TestStartMessageSettingsAreDecoded(t *testing.T) {
	var doc struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(stored(t, "platform.json"), &doc); err != nil {
		t.Fatal(err)
	}
	s, site, err := wire.ParseSettings(doc.Settings)
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	equal(t, "settings", s, balancer.Settings{Balancers: 3, Self: 2, Zone: 1, WeightByWork: true, Subscribe: true, Tick: 21 * ms,
		Classes: []balancer.Class{
			{LatencyObjective: 22 * ms, Deadline: 23 * ms, PriorityWeight: 24.5, LateWeight: 0.25,
				Idempotency: balancer.Idempotent, Scope: balancer.ScopeAll, DedupWindow: 26 * ms},
			{LatencyObjective: 27 * ms, Deadline: 28 * ms, PriorityWeight: 29.5, LateWeight: 0.3,
				Idempotency: balancer.IdempotencyKey, Scope: balancer.ScopeZone, DedupWindow: 31 * ms},
			{LatencyObjective: 32 * ms, Deadline: 33 * ms, PriorityWeight: 34.5, LateWeight: 0.35,
				Idempotency: balancer.NonIdempotent, Scope: balancer.ScopeCell, DedupWindow: 36 * ms}},
		MaxAttempts: 37, HedgingAllowed: true, ProbingAllowed: true, CancelAllowed: true, GossipAllowed: true,
		RetryAfter: true, MaxRetryAfter: 38 * ms, ConnectTimeout: 39 * ms,
		DrainGrace: 42 * ms, AnswerGrace: 43 * ms, PollInterval: 44 * ms, InitialCapacity: 0.45, SlowStartWindow: 46 * ms,
		OverloadMultiple: 4.7, OverloadWindow: 48 * ms,
		GoalOverall: 0.49, GoalWorstWindow: 0.5, GoalWorstClass: 0.51, CrossZoneCost: 0.52, Regions: []int{0, 0},
		CrossRegionCost: 0.53, KeyAffinity: true})
	equal(t, "site", site, wire.Site{Classes: []string{"c1", "c2", "c3"}, Zones: []string{"a", "b"},
		Kinds: []string{"k", "l"}, IdleClose: 40 * ms,
		MaxOpen: 41, LoadInline: true})
}
