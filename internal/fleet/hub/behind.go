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
	pathSettings = "/fleet/settings"
	mostShown    = 200 // agents in an answer
	mostLogged   = 20
	lateAfter    = 14 * time.Second // without the latest settings
)

// Report is which settings are in force in a fleet, and who does not have them.
type Report struct {
	Version int64    `json:"version"`
	Digest  string   `json:"digest"`
	Agents  int      `json:"agents"`
	InForce int      `json:"in_force"`
	Behind  []Behind `json:"behind"`
	Cut     int      `json:"cut,omitempty"`    // who are behind and not named
	Silent  []string `json:"silent,omitempty"` // hubs that did not answer
}

// Behind is an agent without the latest settings.
type Behind struct {
	Agent   string `json:"agent"`
	Hub     string `json:"hub"`
	Version int64  `json:"version"`
	Why     string `json:"why"`
}

// latest are the settings that this hub holds.
func (s *Server) latest() (st documents.Standing) {
	if s.cfg.Settings != nil {
		st = s.cfg.Settings.State()
	}
	return st
}

// has reports whether an agent that stands so has the settings. Of several texts that have one version the first is in force.
func has(st documents.Standing, a frame.Standing) bool {
	return a.Version > st.Version || a.Version == st.Version && (len(st.Digests) == 0 || a.Digest == st.Digests[0])
}

// here is the report on this hub's agents, and on those that are lost and were not found dead.
func (s *Server) here(st documents.Standing, now time.Time) Report {
	r := Report{Version: st.Version, Behind: []Behind{}}
	if len(st.Digests) > 0 {
		r.Digest = st.Digests[0]
	}
	for _, x := range s.roll.streams() {
		a := x.standing()
		if r.Agents++; has(st, a.Settings) {
			r.InForce++
			continue
		}
		r.add(Behind{x.name, s.cfg.Name, a.Settings.Version, cmp.Or(a.Settings.Why, "it has not said that it has them")})
	}
	for _, l := range s.roll.silent() {
		if !has(st, l.last.Settings) {
			r.Agents++
			r.add(Behind{l.name, s.cfg.Name, l.last.Settings.Version, "not heard for " + now.Sub(l.since).Round(time.Second).String()})
		}
	}
	return r
}

func (r *Report) add(b Behind) {
	if len(r.Behind) < mostShown {
		r.Behind = append(r.Behind, b)
	} else {
		r.Cut++
	}
}

func (r *Report) merge(o Report) {
	r.Agents, r.InForce, r.Cut = r.Agents+o.Agents, r.InForce+o.InForce, r.Cut+o.Cut
	for _, b := range o.Behind {
		r.add(b)
	}
}

// showSettings answers who has not taken the settings, at all hubs; asked for a version, at this one.
func (s *Server) showSettings(w http.ResponseWriter, q *http.Request) {
	st, now := s.latest(), time.Now()
	query := q.URL.Query()
	var r Report
	if v, err := strconv.ParseInt(query.Get("version"), 10, 64); err == nil {
		r = s.here(documents.Standing{Version: v, Digests: query["digest"]}, now)
	} else {
		r = s.here(st, now)
		s.askOthers(q, st, &r)
	}
	slices.SortFunc(r.Behind, func(a, b Behind) int { return cmp.Compare(a.Agent, b.Agent) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r) // the other side sees that it is cut off
}

func (s *Server) askOthers(q *http.Request, st documents.Standing, r *Report) {
	path := pathSettings + "?" + url.Values{"version": {strconv.FormatInt(st.Version, 10)}, "digest": st.Digests}.Encode()
	hubs := s.fleet.Hubs()
	answers, errs := make([]Report, len(hubs)), make([]error, len(hubs))
	var calls sync.WaitGroup
	for i, m := range hubs {
		calls.Go(func() { errs[i] = s.ask(q.Context(), m, http.MethodGet, path, nil, &answers[i]) })
	}
	calls.Wait()
	for i, m := range hubs {
		if errs[i] != nil {
			r.Silent = append(r.Silent, m.Name)
		} else {
			r.merge(answers[i])
		}
	}
	for _, m := range s.fleet.Missing() {
		r.Silent = append(r.Silent, cmp.Or(m.Name, m.Addr.String()))
	}
}

// late notes since when agents are behind, and names those that are for long.
func (s *Server) late(now time.Time) (list []string) {
	st := s.latest()
	for _, x := range s.roll.streams() {
		if a := x.mark(st, now); !a.IsZero() && now.Sub(a) > lateAfter {
			list = append(list, x.name+": "+cmp.Or(x.standing().Settings.Why, "it has not said that it has them"))
		}
	}
	slices.Sort(list)
	return list
}

// mark notes whether an agent is behind, and returns since when.
func (x *stream) mark(st documents.Standing, now time.Time) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if has(st, x.state.Settings) {
		x.behind = time.Time{}
	} else if x.behind.IsZero() {
		x.behind = now
	}
	return x.behind
}

func (s *Server) summarize(now time.Time, late []string) {
	c, _ := s.census(now)
	s.cfg.Log.Info("hub", "agents", len(s.roll.streams()), "all", c.Attached, "starting", c.Starting, "gone", c.Gone, "refused", s.bad.Load())
	if len(late) > 0 {
		s.cfg.Log.Warn("hub: agents are behind the settings", "version", s.latest().Version, "agents", len(late), "some", late[:min(len(late), mostLogged)])
	}
}
