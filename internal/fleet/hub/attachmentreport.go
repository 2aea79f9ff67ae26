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
	reportTimeout     = time.Second
	maxReportSize     = 1 << 20 // bytes
	reportContentType = "application/json"
)

// attachmentReport is who has come to a hub since it last told another, and the answer: who of these is there in a later process.
type attachmentReport struct {
	Hub    string          `json:"hub"`
	Agents []reportedAgent `json:"agents"`
}

type reportedAgent struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// reportProgress is how much each of the other hubs knows of who came here.
type reportProgress struct {
	acknowledged map[string]progress
}

type progress struct{ incarnation, serial uint64 }

// reportAttachments tells the other hubs who comes here. A hub that had an agent before need not look for it any more, and of two
// processes of one name the earlier has to go, wherever it is.
func (s *Server) reportAttachments(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	s.acknowledged = map[string]progress{}
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
			known := s.acknowledged[hub.Name]
			if known.incarnation != hub.Incarnation {
				known = progress{hub.Incarnation, 0} // it has begun anew, and knows nobody
			}
			calls.Go(func() { reached[i] = s.reportTo(ctx, hub, known) })
		}
		calls.Wait()
		clear(s.acknowledged) // who is not there is told all when it is back
		for i, hub := range hubs {
			s.acknowledged[hub.Name] = reached[i]
		}
	}
}

// reportTo tells one hub who came here since, and returns up to whom it knows now.
func (s *Server) reportTo(ctx context.Context, hub member.Member, known progress) progress {
	report, lastSerial := attachmentReport{Hub: s.cfg.Name}, known.serial
	for _, a := range s.registry.attachments() {
		if a.serial > known.serial {
			report.Agents = append(report.Agents, reportedAgent{a.name, a.incarnation})
			lastSerial = max(lastSerial, a.serial)
		}
	}
	if len(report.Agents) == 0 {
		return known
	}
	newer, err := s.sendReport(ctx, hub, &report)
	if err != nil {
		return known
	}
	now := time.Now()
	for _, agent := range newer.Agents {
		s.applyRemote(agent, now)
	}
	return progress{known.incarnation, lastSerial}
}

// applyRemote heeds that another hub has a process of a name, and answers with a later one that is here.
func (s *Server) applyRemote(agent reportedAgent, now time.Time) (newer uint64) {
	replaced, newer := s.registry.applyRemote(agent.Name, agent.Incarnation, now)
	if replaced != nil {
		s.cfg.Log.Warn("hub: a later process of this name is at another hub", "agent", agent.Name)
		replaced.close()
	}
	return newer
}

func (s *Server) sendReport(ctx context.Context, hub member.Member, report *attachmentReport) (answer attachmentReport, err error) {
	body, err := json.Marshal(report)
	if err != nil {
		return answer, err
	}
	return answer, s.callHub(ctx, hub, http.MethodPost, pathAttachments, body, &answer)
}

// handleReport takes another hub's post.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	var report attachmentReport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportSize)).Decode(&report); r.Method != http.MethodPost || err != nil || len(report.Agents) > maxNames {
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
	_ = json.NewEncoder(w).Encode(answer) // the other side sees that it is cut off
}
