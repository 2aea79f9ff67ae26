package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/lab/scenario"
)

// Settings of all agents are judged from outside: each agent and each hub logs a line when a version is in force there, and
// the lab knows who was alive and could reach whom.

// publishedVersion is a version of settings that hubs were given.
type publishedVersion struct {
	publishedAt time.Duration
	version     int64
	hubs        []int // its sources
}

// publishInitialSettings gives the settings that hold at the start.
func (l *Lab) publishInitialSettings() error {
	s := &l.Scenario.Shared
	if s.Settings == "" {
		return nil
	}
	return l.publishSettings(0, s.Settings, l.hubs[:s.Sources])
}

// applySettingsFault has operators give settings to sources. The lock is held.
func (l *Lab) applySettingsFault(i int, f *scenario.Fault, now time.Duration) {
	sources := slices.DeleteFunc(l.pickHubs(i, f.Targets), func(h *hub) bool { return !h.isSource() })
	if err := l.publishSettings(now, f.Document, sources); err != nil {
		l.fail(err)
	}
}

func (l *Lab) publishSettings(now time.Duration, text string, hubs []*hub) error {
	var head struct {
		Version int64 `toml:"version"`
	}
	if _, err := toml.Decode(text, &head); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(hubs) == 0 {
		return errors.New("settings are given to hubs of which none is a source")
	}
	g := publishedVersion{publishedAt: now, version: head.Version}
	for _, h := range hubs {
		if err := replaceFile(h.settingsFile(), text); err != nil {
			return err
		}
		g.hubs = append(g.hubs, h.number)
	}
	l.publishedSettings = append(l.publishedSettings, g)
	return nil
}

// replaceFile writes a file whole or not at all, as operators do.
func replaceFile(file, text string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// appliedVersion is a version that an agent or a hub logged that it holds.
type appliedVersion struct {
	at      time.Duration // of the run
	version int64
}

// appliedVersions reads which versions a process has logged, in order, over all its starts.
func (l *Lab) appliedVersions(p *process) (list []appliedVersion) {
	f, err := os.Open(filepath.Join(p.dir, "log"))
	if err != nil {
		return nil // it was never started
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 4 || words[2] != "msg=settings" {
			continue
		}
		at, err := time.Parse(time.RFC3339, strings.TrimPrefix(words[0], "time="))
		for _, w := range words[3:] {
			text, is := strings.CutPrefix(w, "version=")
			if version, err2 := strconv.ParseInt(text, 10, 64); is && err == nil && err2 == nil { // cut off by a kill otherwise
				list = append(list, appliedVersion{at.Sub(l.wallTime(0)), version})
			}
		}
	}
	return list
}

// SettingsReport is how settings got round, as seen from outside.
type SettingsReport struct {
	Given  int     `json:"given"`         // versions
	After  float64 `json:"after_s"`       // from giving a version until the last agent that ever had it did, the longest
	Reach  float64 `json:"reached_s"`     // for which a living agent could reach a living hub that had it or could, before it had it itself, the longest
	Late   int     `json:"past_bound"`    // agents past the bound by that
	Behind int     `json:"behind_at_end"` // living agents that can reach such a hub at the end and don't have the latest version
	Back   int     `json:"went_back"`     // lower versions after higher ones at an agent or a hub
	First  string  `json:"first,omitempty"`
}

// allAppliedVersions reads what all agents and all hubs logged.
func (l *Lab) allAppliedVersions() (agents, hubs [][]appliedVersion) {
	for _, p := range l.agentProcesses() {
		agents = append(agents, l.appliedVersions(p))
	}
	for _, p := range l.hubProcesses() {
		hubs = append(hubs, l.appliedVersions(p))
	}
	return agents, hubs
}

// awaitSettings has the run go on, without clients, until no living agent in reach of a hub is without the latest settings, or
// one is past the bound: a scenario that is shorter than the bound says something too.
func (l *Lab) awaitSettings(ctx context.Context) {
	if l.Scenario.Shared.Settings == "" {
		return
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for limit := time.After(2 * l.Scenario.Shared.SettingsBound.Duration()); ; {
		agents, hubs := l.allAppliedVersions()
		l.mu.Lock()
		r := l.settingsReport(agents, hubs)
		l.mu.Unlock()
		if r.Behind == 0 || r.Late > 0 {
			return
		}
		select {
		case <-tick.C:
		case <-limit: // it went in and out of reach
			return
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}

// settingsReport judges what agents and hubs logged that they hold. The lock is held.
func (l *Lab) settingsReport(agents, hubs [][]appliedVersion) *SettingsReport {
	if len(l.publishedSettings) == 0 {
		return nil
	}
	r := &SettingsReport{Given: len(l.publishedSettings)}
	broken := func(format string, args ...any) {
		if r.First == "" {
			r.First = fmt.Sprintf(format, args...)
		}
	}
	for kind, all := range map[string][][]appliedVersion{"agent": agents, "hub": hubs} {
		for n, list := range all {
			for i := 1; i < len(list); i++ {
				if list[i].version < list[i-1].version {
					r.Back++
					broken("%s %d went back from settings %d to %d at %v", kind, n, list[i-1].version, list[i].version, list[i].at)
				}
			}
		}
	}
	end := l.now()
	bound := l.Scenario.Shared.SettingsBound.Duration()
	for i, g := range l.publishedSettings {
		for a, list := range agents {
			got := firstApplied(list, g.version)
			if got >= 0 {
				r.After = max(r.After, (got - g.publishedAt).Seconds())
			}
			waited, reached := l.maxUnservedTime(&g, a, got, end, hubs)
			if r.Reach = max(r.Reach, waited.Seconds()); waited > bound+ageSlack {
				r.Late++
				broken("agent %d did not have settings %d, given at %v, though it could reach a hub for %v, bound %v", a, g.version, g.publishedAt, waited, bound)
			}
			if reached && got < 0 && i == len(l.publishedSettings)-1 {
				r.Behind++
			}
		}
	}
	return r
}

// firstApplied is when in the run a version or a later one was first held; negative: never.
func firstApplied(list []appliedVersion, version int64) time.Duration {
	for _, x := range list {
		if x.version >= version {
			return max(0, x.at)
		}
	}
	return -1
}

// maxUnservedTime is the longest time without a break for which an agent could reach a hub that had a version or could have it, from
// when it was given until the agent had it; reached: it still could at that time.
func (l *Lab) maxUnservedTime(published *publishedVersion, agent int, got, end time.Duration, hubs [][]appliedVersion) (longest time.Duration, reached bool) {
	if got >= 0 {
		end = min(end, got)
	}
	has := make([]bool, len(hubs))
	for _, h := range published.hubs {
		has[h] = true
	}
	// What changes who can: the network and processes, and hubs that have it by now.
	type turn struct {
		at  time.Duration
		hub int // -1: none
	}
	turns := []turn{{published.publishedAt, -1}}
	for h, list := range hubs {
		if at := firstApplied(list, published.version); at >= 0 {
			turns = append(turns, turn{at, h})
		}
	}
	for i := range l.reachability {
		turns = append(turns, turn{l.reachability[i].at, -1})
	}
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	since, now := time.Duration(-1), 0
	for i, t := range turns {
		if t.hub >= 0 {
			has[t.hub] = true
		}
		for now+1 < len(l.reachability) && l.reachability[now+1].at <= t.at {
			now++
		}
		if t.at < published.publishedAt || t.at >= end || len(l.reachability) == 0 || i+1 < len(turns) && turns[i+1].at == t.at {
			continue
		}
		st := &l.reachability[now]
		if reached = st.agentReaches(agent, st.spread(has)); !reached {
			since = -1
			continue
		}
		if since < 0 {
			since = t.at
		}
		next := end
		if i+1 < len(turns) {
			next = min(end, turns[i+1].at)
		}
		longest = max(longest, next-since)
	}
	return longest, reached
}
