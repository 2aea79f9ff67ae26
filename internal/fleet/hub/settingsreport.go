// This file reports which settings are applied in the fleet, and which agents lag behind.

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
	maxReported      = 200              // lagging agents in a report
	laggingThreshold = 14 * time.Second // an agent without the latest settings for longer is logged
	noReason         = "it has not said that it has them"
)

// SettingsReport says which settings are current in a fleet, and which agents lack them. GET /fleet/settings answers
// with it.
type SettingsReport struct {
	Version      int64          `json:"version"` // the current one
	Digest       string         `json:"digest"`
	Agents       int            `json:"agents"`
	Applied      int            `json:"in_force"` // agents that have applied it
	Lagging      []LaggingAgent `json:"behind"`
	Omitted      int            `json:"cut,omitempty"`    // lagging agents beyond those named
	Unresponsive []string       `json:"silent,omitempty"` // hubs that did not answer, by name or address
}

// LaggingAgent is an agent that has not applied the current settings.
type LaggingAgent struct {
	Agent   string `json:"agent"`
	Hub     string `json:"hub"`
	Version int64  `json:"version"` // that it has applied
	Reason  string `json:"why"`     // as the agent says, or why nothing is known
}

// currentSettings returns the version that this hub holds, the zero value without one.
func (s *Server) currentSettings() (current documents.AppliedVersion) {
	if s.cfg.Settings != nil {
		current = s.cfg.Settings.Applied()
	}
	return current
}

// hasApplied reports whether applied, an agent's version, is the current one or later. Of several documents under one
// version the first counts.
func hasApplied(current documents.AppliedVersion, applied frame.AppliedVersion) bool {
	return applied.Version > current.Version ||
		applied.Version == current.Version && (len(current.Digests) == 0 || applied.Digest == current.Digests[0])
}

// localReport reports on the agents attached here, and on the disconnected ones that are not known to be dead.
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

// add adds a lagging agent, of which the report names only so many.
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

// handleSettings answers with a report over all hubs; or, if the query has a version, as another hub asks, over this
// hub alone and against that version.
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
	_ = json.NewEncoder(w).Encode(report) // the caller sees that the answer is cut off
}

// mergeRemoteReports adds to report those of the other hubs, which it asks all at once, and names the hubs that do
// not answer and those that are missing.
func (s *Server) mergeRemoteReports(req *http.Request, current documents.AppliedVersion, report *SettingsReport) {
	path := pathSettings + "?" + url.Values{"version": {strconv.FormatInt(current.Version, 10)}, "digest": current.Digests}.Encode()
	hubs := s.fleet.Hubs()
	answers, errs := make([]SettingsReport, len(hubs)), make([]error, len(hubs))
	var calls sync.WaitGroup
	for i, hub := range hubs {
		calls.Go(func() { errs[i] = s.callHub(req.Context(), hub, http.MethodGet, path, nil, &answers[i]) })
	}
	calls.Wait()
	for i, hub := range hubs {
		if errs[i] != nil {
			report.Unresponsive = append(report.Unresponsive, hub.Name)
		} else {
			report.merge(answers[i])
		}
	}
	for _, hub := range s.fleet.MissingHubs() {
		report.Unresponsive = append(report.Unresponsive, cmp.Or(hub.Name, hub.Addr.String()))
	}
}

// laggingAgents updates since when each agent lags, and returns the names and reasons of those that have lagged for
// longer than laggingThreshold, sorted.
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
