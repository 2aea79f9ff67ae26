// This file exchanges attachment reports with other hubs: each hub reports which agents attached to it.

package hub

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/fleet/member"
)

const (
	pathAttachments   = "/hub/names"
	reportInterval    = 250 * time.Millisecond
	reportContentType = "application/json"
)

// attachmentReport lists the agents that attached to a hub since the last report that the receiver acknowledged. The
// response has the same format and lists the reported agents that are attached to the receiver with a higher incarnation.
type attachmentReport struct {
	Hub    string          `json:"hub"`
	Agents []reportedAgent `json:"agents"`
}

type reportedAgent struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// progress identifies the last attachment that another hub has acknowledged: the incarnation of that hub's process, and
// the serial of the attachment.
type progress struct{ incarnation, serial uint64 }

// reportAttachments sends attachment reports to the other hubs until ctx ends, and repeats each report until the hub
// acknowledges it. The receiver stops checking whether the reported agents that have disconnected from the receiver are
// dead. If two processes have one name, the hub of the process with the lower incarnation closes the stream of that
// process.
func (s *Server) reportAttachments(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	acknowledged := map[string]progress{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		hubs := s.fleet.Hubs()
		newProgress := make([]progress, len(hubs))
		var calls sync.WaitGroup
		for i, hub := range hubs {
			last := acknowledged[hub.Name]
			if last.incarnation != hub.Incarnation {
				last = progress{hub.Incarnation, 0} // a new process, which has received no reports
			}
			calls.Go(func() { newProgress[i] = s.reportTo(ctx, hub, last) })
		}
		calls.Wait()
		clear(acknowledged) // a hub that is missing now receives a full report when it returns
		for i, hub := range hubs {
			acknowledged[hub.Name] = newProgress[i]
		}
	}
}

// reportTo sends one hub a report of the attachments since last. It returns the new progress of the hub, or last if the
// call fails.
func (s *Server) reportTo(ctx context.Context, hub member.Member, last progress) progress {
	report, lastSerial := attachmentReport{Hub: s.cfg.Name}, last.serial
	for _, a := range s.registry.attachments() {
		if a.serial > last.serial {
			report.Agents = append(report.Agents, reportedAgent{a.name, a.incarnation})
			lastSerial = max(lastSerial, a.serial)
		}
	}
	if len(report.Agents) == 0 {
		return last
	}
	newer, err := s.sendReport(ctx, hub, &report)
	if err != nil {
		return last // the next tick sends the report again
	}
	now := time.Now()
	for _, agent := range newer.Agents {
		s.applyRemote(agent, now)
	}
	return progress{last.incarnation, lastSerial}
}

// applyRemote records that a process is attached to another hub, and closes an attachment to this hub with a lower
// incarnation. If the attachment to this hub has a higher incarnation, applyRemote returns that incarnation, otherwise 0.
func (s *Server) applyRemote(agent reportedAgent, now time.Time) (newer uint64) {
	replaced, newer := s.registry.applyRemote(agent.Name, agent.Incarnation, now)
	if replaced != nil {
		s.cfg.Log.Warn("attachment replaced by newer incarnation at another hub", "agent", agent.Name)
		replaced.close()
	}
	return newer
}

// sendReport sends a report to one hub and returns the response.
func (s *Server) sendReport(ctx context.Context, hub member.Member, report *attachmentReport) (*attachmentReport, error) {
	body, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	response := &attachmentReport{}
	return response, s.callHub(ctx, hub, http.MethodPost, pathAttachments, body, response)
}

// handleReport handles another hub's attachment report.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	var report attachmentReport
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageSize)).Decode(&report)
	if r.Method != http.MethodPost || err != nil || len(report.Agents) > maxRegistryEntries {
		http.Error(w, "this is no hub's post", http.StatusBadRequest)
		return
	}
	now, response := time.Now(), attachmentReport{Hub: s.cfg.Name}
	for _, agent := range report.Agents {
		if newer := s.applyRemote(agent, now); newer > 0 {
			response.Agents = append(response.Agents, reportedAgent{agent.Name, newer})
		}
	}
	w.Header().Set("Content-Type", reportContentType)
	_ = json.NewEncoder(w).Encode(response) // after an error the caller receives a truncated response
}
