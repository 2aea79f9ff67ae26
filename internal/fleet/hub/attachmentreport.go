// This file exchanges attachment reports between hubs: which agents attached where.

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

// attachmentReport names the agents that attached to a hub since its last report to the receiver. The answer has the
// same form, and names those of them that are attached to the receiver with a higher incarnation.
type attachmentReport struct {
	Hub    string          `json:"hub"`
	Agents []reportedAgent `json:"agents"`
}

type reportedAgent struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// progress is up to which attachment another hub has acknowledged reports: the incarnation of that hub's process, and
// the serial of the attachment.
type progress struct{ incarnation, serial uint64 }

// reportAttachments sends attachment reports to the other hubs until ctx ends, each until it is acknowledged. By them
// a hub stops checking an agent that has moved, and of two processes of one name the one with the lower incarnation
// is detached.
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
		reached := make([]progress, len(hubs))
		var calls sync.WaitGroup
		for i, hub := range hubs {
			last := acknowledged[hub.Name]
			if last.incarnation != hub.Incarnation {
				last = progress{hub.Incarnation, 0} // a new process, which knows of no agent
			}
			calls.Go(func() { reached[i] = s.reportTo(ctx, hub, last) })
		}
		calls.Wait()
		clear(acknowledged) // a hub that is missing now receives a full report when it is back
		for i, hub := range hubs {
			acknowledged[hub.Name] = reached[i]
		}
	}
}

// reportTo reports to one hub the attachments since last, and returns up to which the hub has acknowledged them.
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
		return last // sent again at the next tick
	}
	now := time.Now()
	for _, agent := range newer.Agents {
		s.applyRemote(agent, now)
	}
	return progress{last.incarnation, lastSerial}
}

// applyRemote applies that a process is attached to another hub: an attachment here with a lower incarnation is
// closed. If the one here has a higher incarnation, that is returned; otherwise 0.
func (s *Server) applyRemote(agent reportedAgent, now time.Time) (newer uint64) {
	replaced, newer := s.registry.applyRemote(agent.Name, agent.Incarnation, now)
	if replaced != nil {
		s.cfg.Log.Warn("attachment replaced by newer incarnation at another hub", "agent", agent.Name)
		replaced.close()
	}
	return newer
}

// sendReport sends a report to one hub and returns its answer.
func (s *Server) sendReport(ctx context.Context, hub member.Member, report *attachmentReport) (*attachmentReport, error) {
	body, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	answer := &attachmentReport{}
	return answer, s.callHub(ctx, hub, http.MethodPost, pathAttachments, body, answer)
}

// handleReport serves another hub's attachment report.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	var report attachmentReport
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageSize)).Decode(&report)
	if r.Method != http.MethodPost || err != nil || len(report.Agents) > maxNames {
		http.Error(w, "this is no hub's post", http.StatusBadRequest)
		return
	}
	now, answer := time.Now(), attachmentReport{Hub: s.cfg.Name}
	for _, agent := range report.Agents {
		if newer := s.applyRemote(agent, now); newer > 0 {
			answer.Agents = append(answer.Agents, reportedAgent{agent.Name, newer})
		}
	}
	w.Header().Set("Content-Type", reportContentType)
	_ = json.NewEncoder(w).Encode(answer) // the caller sees that the answer is cut off
}
