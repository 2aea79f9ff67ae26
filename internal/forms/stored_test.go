package forms

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
	"martenbeam/internal/versionedfile"
)

// Tests of the files that a process stores for its successor. They read the files stored-* as the successor does.

const (
	settingsText = "version = 3\ndiscovery = \"127.0.0.1:7\"\nattempts.most = 4\n"
	policyText   = "version = 6\nwhen_stale = \"refuse\"\n[regions]\nnorth = [\"a\"]\nsouth = [\"b\", \"c\"]\n" +
		"[tenant.t1]\npermitted = [\"north\"]\nwhen_stale = \"serve\"\n[tenant.t1.class.bulk]\npermitted = [\"south\"]\n[others]\npermitted = [\"*\"]\n"
)

// handoverRecord returns the contents of stored-handover.json.
func handoverRecord() handover.Record {
	return handover.Record{Format: 1, Generation: 2, SavedUnixMs: 1700000000003,
		DisabledUnixMs: map[string]int64{"b1": 1700000000004}, EnabledUnixMs: map[string]int64{"b2": 1700000000005},
		SavedBootUs: 6_000_006, DisabledBootUs: map[string]int64{"b1": 7_000_007}, EnabledBootUs: map[string]int64{"b2": 8_000_008},
		LameDuck: true, LameDuckBootUs: 9_000_009, ListSource: "127.0.0.1:10",
		List: &discovery.EndpointList{Version: 11, Full: true, Endpoints: []discovery.Endpoint{
			{ID: "b1", Addr: "127.0.0.1:12", Zone: "a", Kind: "k", Cell: 13, State: "ready", Weight: 14.5, StartedAt: 15}}},
		Snapshot: &balancer.Snapshot{Tokens: 16.5, LimitPerBackend: 17.5, LatencyRatio: 0.185, PeakThroughput: 0.195,
			Demand: 20.5, DrainedDemand: 21.5,
			PeerDemand: []float64{22.5, -1}, Latency: []float64{23.5, 24.5}}}
}

// A handover record encodes to the same bytes, Store.Poll reads a stored record, and Register adds the files lock and owner.
func TestHandoverRecordKeepsItsFormat(t *testing.T) {
	r := handoverRecord()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "stored-handover.json", text)

	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "handover.json"), stored(t, "stored-handover.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := handover.New(dir, slog.New(slog.DiscardHandler))
	overrides, lameDuck, ok := s.Poll()
	if !ok || !lameDuck {
		t.Fatalf("Poll: record read %v, lame duck %v; want both true", ok, lameDuck)
	}
	equal(t, "the record", s.LastRecord(), r)
	for _, c := range overrides {
		switch want := (handover.Override{Backend: "b1", Disabled: true, IssuedAt: 7_000_007 * time.Microsecond}); {
		case c.Backend == "b1" && c != want:
			t.Errorf("got %+v, want %+v", c, want)
		case c.Backend == "b2" && c != (handover.Override{Backend: "b2", IssuedAt: 8_000_008 * time.Microsecond}):
			t.Errorf("got %+v, want backend b2 enabled at 8000008us", c)
		}
	}
	if len(overrides) != 2 {
		t.Errorf("got overrides %+v, want 2", overrides)
	}
	if err := s.Register(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	equal(t, "files", names, []string{"handover.json", "lock", "owner"})
}

// SaveFunc writes settings in the same format, Load applies stored settings, and Apply rejects a lower version.
func TestStoredSettingsKeepTheirFormat(t *testing.T) {
	dir := t.TempDir()
	if err := settings.SaveFunc(dir)(3, []string{settingsText, "version = 3\n"}); err != nil {
		t.Fatal(err)
	}
	golden(t, "stored-settings.json", readFile(t, dir, "settings.json"))

	dir = tempDirWith(t, "settings.json", "stored-settings.json")
	h := settings.NewHolder(settings.Config{})
	if err := h.Load(dir); err != nil {
		t.Fatal(err)
	}
	if v := h.State().Version; v != 3 {
		t.Errorf("stored settings: got version %d, want 3", v)
	}
	for digest, want := range map[string]string{"da4d8bc885a122dd": settingsText,
		versionedfile.Digest("version = 3\n"): "version = 3\n"} {
		if v, text, ok := h.Text(digest); v != 3 || text != want || !ok {
			t.Errorf("digest %s: got version %d, text %q, found %v; want version 3 and its text", digest, v, text, ok)
		}
	}
	if err := h.Apply(2, "version = 2\n"); err == nil {
		t.Error("Apply accepted a lower version")
	}
	equal(t, "digest", settings.Digest(settingsText), "da4d8bc885a122dd")
}

// SaveFunc writes a residency policy in the same format, and Load applies a stored policy.
func TestStoredPolicyKeepsItsFormat(t *testing.T) {
	dir := t.TempDir()
	if err := residency.SaveFunc(dir)(6, []string{policyText}); err != nil {
		t.Fatal(err)
	}
	golden(t, "stored-policy.json", readFile(t, dir, "policy.json"))

	dir = tempDirWith(t, "policy.json", "stored-policy.json")
	h := residency.NewHolder([]string{"a", "b", "c"}, time.Minute, true, slog.New(slog.DiscardHandler), nil)
	if err := h.Load(dir); err != nil {
		t.Fatal(err)
	}
	if v, text, ok := h.Text(residency.Digest(policyText)); v != 6 || text != policyText || !ok {
		t.Errorf("stored policy: got version %d, text %q, found %v; want version 6 and the stored text", v, text, ok)
	}
	tenant, bulk, other := h.RuleID("t1", "web"), h.RuleID("t1", "bulk"), h.RuleID("t2", "web")
	table := h.Table()
	equal(t, "zones of the tenant", table.Permitted[tenant], []bool{true, false, false})
	equal(t, "zones of the tenant's class bulk", table.Permitted[bulk], []bool{false, true, true})
	equal(t, "zones of other tenants", table.Permitted[other], []bool(nil))
}

// The documents of settings and of a residency policy keep their keys.
func TestDocumentsKeepTheirKeys(t *testing.T) {
	goldenKeys[residency.Policy](t, "policy-keys.txt")
	p, err := residency.Parse("policy", policyText)
	if err != nil {
		t.Fatal(err)
	}
	if p.Version != 6 || p.WhenStale != "refuse" || len(p.Regions) != 2 || p.Tenants["t1"].WhenStale != "serve" ||
		p.Tenants["t1"].Classes["bulk"].Permitted[0] != "south" || p.DefaultRule.Permitted[0] != "*" {
		t.Errorf("policy: got %+v, want the values in policyText", p)
	}
	s, err := settings.Parse("settings", settingsText)
	if err != nil || s.Version != 3 || s.Text != settingsText {
		t.Errorf("settings: got %+v, error %v; want version 3 with its text", s, err)
	}
}

func readFile(t *testing.T, dir, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(text)
}

// tempDirWith returns a temporary directory with a copy, under name, of the file from in testdata.
func tempDirWith(t *testing.T, name, from string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, name), stored(t, from), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}
