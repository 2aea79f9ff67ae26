// This file reports the current settings of the fleet, and which agents lag behind them.

package hub

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/hub/frame"
)

const (
	pathSettings     = "/fleet/settings"
	maxReported      = 200              // lagging agents named in a report
	laggingThreshold = 14 * time.Second // the hub logs an agent that lags for longer
	noReason         = "it has not said that it has them"
)

// SettingsReport is the response to GET /fleet/settings: the current settings of the fleet, and the agents that have not
// applied them.
type SettingsReport struct {
	Version      int64          `json:"version"` // the current version
	Digest       string         `json:"digest"`
	Agents       int            `json:"agents"`
	Applied      int            `json:"in_force"` // agents that have applied the current version
	Lagging      []LaggingAgent `json:"behind"`
	Omitted      int            `json:"cut,omitempty"`    // number of lagging agents that Lagging omits
	Unresponsive []string       `json:"silent,omitempty"` // hubs that did not respond, by name or address
}

// LaggingAgent is an agent that has not applied the current settings.
type LaggingAgent struct {
	Agent   string `json:"agent"`
	Hub     string `json:"hub"`
	Version int64  `json:"version"` // the version that the agent has applied; 0: none
	Reason  string `json:"why"`     // as reported by the agent, or why the agent's state is unknown
}

// currentSettings returns the version of this hub's settings, or the zero value if the hub has none.
func (s *Server) currentSettings() (current documents.AppliedVersion) {
	if s.cfg.Settings != nil {
		current = s.cfg.Settings.Applied()
	}
	return current
}

// hasApplied reports whether applied, an agent's version, is the current version or a later one. If several texts have
// the current version, only the first text counts as applied.
func hasApplied(current documents.AppliedVersion, applied frame.AppliedVersion) bool {
	return applied.Version > current.Version ||
		applied.Version == current.Version && (len(current.Digests) == 0 || applied.Digest == current.Digests[0])
}

// localReport reports on the agents attached to this hub. It also lists the disconnected agents that were never confirmed
// dead and had not applied the current version.
func (s *Server) localReport(current documents.AppliedVersion, now time.Time) SettingsReport {
	report := SettingsReport{Version: current.Version, Lagging: []LaggingAgent{}}
	if len(current.Digests) > 0 {
		report.Digest = current.Digests[0]
	}
	for _, a := range s.registry.attachments() {
		status := a.status()
		if report.Agents++; hasApplied(current, status.Settings) {
			report.Applied++
			continue
		}
		report.add(LaggingAgent{a.name, s.cfg.Name, status.Settings.Version, cmp.Or(status.Settings.Reason, noReason)})
	}
	for _, agent := range s.registry.unconfirmed() {
		if !hasApplied(current, agent.lastStatus.Settings) {
			report.Agents++
			reason := "not heard for " + now.Sub(agent.disconnectedAt).Round(time.Second).String()
			report.add(LaggingAgent{agent.name, s.cfg.Name, agent.lastStatus.Settings.Version, reason})
		}
	}
	return report
}

// add adds a lagging agent. If the report already lists maxReported agents, add only counts the agent in Omitted.
func (r *SettingsReport) add(agent LaggingAgent) {
	if len(r.Lagging) < maxReported {
		r.Lagging = append(r.Lagging, agent)
	} else {
		r.Omitted++
	}
}

// merge adds another hub's report.
func (r *SettingsReport) merge(remote SettingsReport) {
	r.Agents, r.Applied, r.Omitted = r.Agents+remote.Agents, r.Applied+remote.Applied, r.Omitted+remote.Omitted
	for _, agent := range remote.Lagging {
		r.add(agent)
	}
}

// handleSettings responds with a report on the agents of all hubs. If the query has a version, as in the requests of
// other hubs, the report covers only the agents of this hub and compares them with that version.
func (s *Server) handleSettings(w http.ResponseWriter, req *http.Request) {
	current, now := s.currentSettings(), time.Now()
	query := req.URL.Query()
	var report SettingsReport
	if version, err := strconv.ParseInt(query.Get("version"), 10, 64); err == nil {
		report = s.localReport(documents.AppliedVersion{Version: version, Digests: query["digest"]}, now)
	} else {
		report = s.localReport(current, now)
		s.mergeRemoteReports(req, current, &report)
	}
	slices.SortFunc(report.Lagging, func(a, b LaggingAgent) int { return cmp.Compare(a.Agent, b.Agent) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // after an error the caller receives a truncated response
}

// mergeRemoteReports requests the reports of the other hubs concurrently and merges them into report. It adds the hubs
// that do not respond and the missing hubs to Unresponsive.
func (s *Server) mergeRemoteReports(req *http.Request, current documents.AppliedVersion, report *SettingsReport) {
	path := pathSettings + "?" + url.Values{"version": {strconv.FormatInt(current.Version, 10)}, "digest": current.Digests}.Encode()
	hubs := s.fleet.Hubs()
	responses, errs := make([]SettingsReport, len(hubs)), make([]error, len(hubs))
	var calls sync.WaitGroup
	for i, hub := range hubs {
		calls.Go(func() { errs[i] = s.callHub(req.Context(), hub, http.MethodGet, path, nil, &responses[i]) })
	}
	calls.Wait()
	for i, hub := range hubs {
		if errs[i] != nil {
			report.Unresponsive = append(report.Unresponsive, hub.Name)
		} else {
			report.merge(responses[i])
		}
	}
	for _, hub := range s.fleet.MissingHubs() {
		report.Unresponsive = append(report.Unresponsive, cmp.Or(hub.Name, hub.Addr.String()))
	}
}

// laggingAgents records for each agent when it began to lag. It returns the names and reasons of the agents that have
// lagged for longer than laggingThreshold, sorted.
func (s *Server) laggingAgents(now time.Time) (list []string) {
	current := s.currentSettings()
	for _, a := range s.registry.attachments() {
		if since := a.updateLagging(current, now); !since.IsZero() && now.Sub(since) > laggingThreshold {
			list = append(list, a.name+": "+cmp.Or(a.status().Settings.Reason, noReason))
		}
	}
	slices.Sort(list)
	return list
}
