package hub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/fleet/member"
)

const (
	pathNames   = "/hub/names"
	postEvery   = 250 * time.Millisecond
	postWithin  = time.Second
	mostPosted  = 1 << 20 // bytes
	namesFormat = "application/json"
)

// post is who has come to a hub since it last told another, and the answer: who of these is there in a later process.
type post struct {
	Hub    string  `json:"hub"`
	Agents []agent `json:"agents"`
}

type agent struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// posts is how much each of the other hubs knows of who came here.
type posts struct {
	sent map[string]acked
}

type acked struct{ incarnation, serial uint64 }

// postNames tells the other hubs who comes here. A hub that had an agent before need not look for it any more, and of two
// processes of one name the earlier has to go, wherever it is.
func (s *Server) postNames(ctx context.Context) {
	tick := time.NewTicker(postEvery)
	defer tick.Stop()
	s.sent = map[string]acked{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		hubs := s.fleet.Hubs()
		reached := make([]acked, len(hubs))
		var calls sync.WaitGroup
		for i, m := range hubs {
			from := s.sent[m.Name]
			if from.incarnation != m.Started {
				from = acked{m.Started, 0} // it has begun anew, and knows nobody
			}
			calls.Go(func() { reached[i] = s.postTo(ctx, m, from) })
		}
		calls.Wait()
		clear(s.sent) // who is not there is told all when it is back
		for i, m := range hubs {
			s.sent[m.Name] = reached[i]
		}
	}
}

// postTo tells one hub who came here since, and returns up to whom it knows now.
func (s *Server) postTo(ctx context.Context, m member.Member, from acked) acked {
	p, upTo := post{Hub: s.cfg.Name}, from.serial
	for _, x := range s.roll.streams() {
		if x.serial > from.serial {
			p.Agents = append(p.Agents, agent{x.name, x.incarnation})
			upTo = max(upTo, x.serial)
		}
	}
	if len(p.Agents) == 0 {
		return from
	}
	later, err := s.call(ctx, m, &p)
	if err != nil {
		return from
	}
	now := time.Now()
	for _, a := range later.Agents {
		s.heard(a, now)
	}
	return acked{from.incarnation, upTo}
}

// heard heeds that another hub has a process of a name, and answers with a later one that is here.
func (s *Server) heard(a agent, now time.Time) (later uint64) {
	replaced, later := s.roll.heard(a.Name, a.Incarnation, now)
	if replaced != nil {
		s.cfg.Log.Warn("hub: a later process of this name is at another hub", "agent", a.Name)
		replaced.end()
	}
	return later
}

func (s *Server) call(ctx context.Context, m member.Member, p *post) (answer post, err error) {
	body, err := json.Marshal(p)
	if err != nil {
		return answer, err
	}
	return answer, s.ask(ctx, m, http.MethodPost, pathNames, body, &answer)
}

// ask calls another hub.
func (s *Server) ask(ctx context.Context, m member.Member, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, postWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: s.fleet.Dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, mostPosted)).Decode(answer)
}

// takeNames takes another hub's post.
func (s *Server) takeNames(w http.ResponseWriter, q *http.Request) {
	var p post
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, mostPosted)).Decode(&p); q.Method != http.MethodPost || err != nil || len(p.Agents) > mostNames {
		http.Error(w, "this is no hub's post", http.StatusBadRequest)
		return
	}
	now, answer := time.Now(), post{Hub: s.cfg.Name}
	for _, a := range p.Agents {
		if later := s.heard(a, now); later > 0 {
			answer.Agents = append(answer.Agents, agent{a.Name, later})
		}
	}
	w.Header().Set("Content-Type", namesFormat)
	_ = json.NewEncoder(w).Encode(answer) // the other side sees that it is cut off
}
