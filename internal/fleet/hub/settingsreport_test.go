// This file tests how settings are published, and the report on lagging agents.

package hub

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// fakeHolder is a documents.Holder that stores one text.
type fakeHolder struct {
	mu      sync.Mutex
	version int64
	text    string
}

func (h *fakeHolder) Apply(version int64, text string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return errors.New("version is not higher than the stored one")
	}
	h.version, h.text = version, text
	return nil
}

func (h *fakeHolder) Text(string) (int64, string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.text, h.version > 0
}

// document returns the settings document of this holder.
func (h *fakeHolder) document() *documents.Document {
	return &documents.Document{
		GossipKind: gossip.SettingsVersion, Subject: "settings", Path: "/settings/", MaxBytes: 1 << 10, Holder: h,
		Digest: func(text string) string { return "of " + text },
		Applied: func() documents.AppliedVersion {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.version == 0 {
				return documents.AppliedVersion{}
			}
			return documents.AppliedVersion{Version: h.version, Digests: []string{"of " + h.text}}
		},
	}
}

// Settings that one hub applies reach the agents of another hub, whether or not a lower version was applied first. The
// report of a hub includes the lagging agents of other hubs.
func TestSettingsReportNamesLaggingAgents(t *testing.T) {
	t.Parallel()
	var hubs []*testHub
	var holders []*fakeHolder
	for i := range 2 {
		holder := &fakeHolder{}
		holders = append(holders, holder)
		hubs = append(hubs, startHub(t, fmt.Sprint("hub", i), 10, func(c *Config) { c.Settings = holder.document() }, hubs...))
	}
	current := frame.AppliedVersion{Version: 2, Digest: "of two"}
	lagging := frame.AppliedVersion{Version: 1, Reason: "a key is unknown"}
	a := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 1}, &frame.State{Settings: current})
	b := attachAgent(t, hubs[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{Settings: lagging})
	published := func(agent *fakeAgent, v int64) func() bool {
		return func() bool {
			for _, entry := range agent.gossip.Entries(gossip.SettingsVersion) {
				if s, ok := documents.ParseAppliedVersion(entry.Body); ok && s.Version == v {
					return true
				}
			}
			return false
		}
	}
	for v, text := range map[int64]string{1: "one", 2: "two"} {
		_ = holders[0].Apply(v, text) // in either order: the holder rejects a lower version after a higher one
	}
	waitFor(t, "settings published to a", published(a, 2))
	waitFor(t, "settings published to b", published(b, 2))
	var report SettingsReport
	waitFor(t, "report on both agents", func() bool {
		var err error
		report, err = getSettingsReport(hubs[0])
		return err == nil && report.Agents == 2 && report.Applied == 1
	})
	if report.Version != 2 || len(report.Lagging) != 1 || report.Lagging[0] != (LaggingAgent{"b", "hub1", 1, "a key is unknown"}) {
		t.Errorf("report %+v, want version 2 and only agent b as lagging", report)
	}
}

// getSettingsReport requests the settings report of a hub.
func getSettingsReport(hub *testHub) (report SettingsReport, err error) {
	resp, err := http.Get("http://" + hub.fleet.Addr() + pathSettings)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&report)
	return report, err
}
