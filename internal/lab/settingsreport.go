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

// The lab checks the distribution of settings from outside: each agent and hub logs a line when it applies a version, and the lab
// records which processes were up and could reach each other.

// publishedVersion is a version of the settings that the lab wrote to hubs.
type publishedVersion struct {
	publishedAt time.Duration
	version     int64
	hubs        []int // the hubs whose settings file was replaced
}

// publishInitialSettings writes the initial settings to their sources.
func (l *Lab) publishInitialSettings() error {
	s := &l.Scenario.Shared
	if s.Settings == "" {
		return nil
	}
	return l.publishSettings(0, s.Settings, l.hubs[:s.Sources])
}

// applySettingsFault writes new settings to sources. Lab.mu is held.
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
		return errors.New("settings can't be published: none of the selected hubs is a source of settings")
	}
	published := publishedVersion{publishedAt: now, version: head.Version}
	for _, h := range hubs {
		if err := replaceFile(h.settingsFile(), text); err != nil {
			return err
		}
		published.hubs = append(published.hubs, h.number)
	}
	l.publishedSettings = append(l.publishedSettings, published)
	return nil
}

// replaceFile replaces a file atomically.
func replaceFile(file, text string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// appliedVersion is a log line of a process that has applied a version.
type appliedVersion struct {
	at      time.Duration // time of the run
	version int64
}

// appliedVersions reads the versions that a process has applied from its log, in order, over all its starts.
func (l *Lab) appliedVersions(p *process) (list []appliedVersion) {
	f, err := os.Open(filepath.Join(p.dir, "log"))
	if err != nil {
		return nil // the process has no log before its first start
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
			text, found := strings.CutPrefix(w, "version=")
			if version, versionErr := strconv.ParseInt(text, 10, 64); found && err == nil && versionErr == nil { // a kill may have truncated the line
				list = append(list, appliedVersion{at.Sub(l.wallTime(0)), version})
			}
		}
	}
	return list
}

// SettingsReport reports how versions of the settings spread. Times are in seconds.
type SettingsReport struct {
	Published    int     `json:"given"`         // versions
	SpreadTime   float64 `json:"after_s"`       // longest time from publishing a version until the last agent applied it
	UnservedTime float64 `json:"reached_s"`     // longest time for which an agent was up and could reach a hub that had a version or could receive it, before the agent applied the version
	PastBound    int     `json:"past_bound"`    // versions and agents for which this time exceeded the bound
	Lagging      int     `json:"behind_at_end"` // agents that do not have the latest version at the end, though they can reach a hub that has it or could receive it
	Regressions  int     `json:"went_back"`     // lower versions applied after higher ones
	First        string  `json:"first,omitempty"`
}

// allAppliedVersions returns the applied versions of all agents and hubs.
func (l *Lab) allAppliedVersions() (agents, hubs [][]appliedVersion) {
	for _, p := range l.agentProcesses() {
		agents = append(agents, l.appliedVersions(p))
	}
	for _, p := range l.hubProcesses() {
		hubs = append(hubs, l.appliedVersions(p))
	}
	return agents, hubs
}

// awaitSettings continues the run without clients until all agents that can reach a hub have the latest settings, or one agent
// exceeds the bound. So a scenario that is shorter than the bound still gets a verdict.
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
		if r.Lagging == 0 || r.PastBound > 0 {
			return
		}
		select {
		case <-tick.C:
		case <-limit: // an agent alternated between reachable and unreachable
			return
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}

// settingsReport checks the applied versions. It returns nil if no settings were published. Lab.mu is held.
func (l *Lab) settingsReport(agents, hubs [][]appliedVersion) *SettingsReport {
	if len(l.publishedSettings) == 0 {
		return nil
	}
	r := &SettingsReport{Published: len(l.publishedSettings)}
	recordFirst := func(format string, args ...any) {
		if r.First == "" {
			r.First = fmt.Sprintf(format, args...)
		}
	}
	for kind, all := range map[string][][]appliedVersion{"agent": agents, "hub": hubs} {
		for n, list := range all {
			for i := 1; i < len(list); i++ {
				if list[i].version < list[i-1].version {
					r.Regressions++
					recordFirst("%s %d went back from settings %d to %d at %v", kind, n, list[i-1].version, list[i].version, list[i].at)
				}
			}
		}
	}
	end := l.now()
	bound := l.Scenario.Shared.SettingsBound.Duration()
	for i, published := range l.publishedSettings {
		for a, list := range agents {
			appliedAt := firstApplied(list, published.version)
			if appliedAt >= 0 {
				r.SpreadTime = max(r.SpreadTime, (appliedAt - published.publishedAt).Seconds())
			}
			unserved, reached := l.maxUnservedTime(&published, a, appliedAt, end, hubs)
			if r.UnservedTime = max(r.UnservedTime, unserved.Seconds()); unserved > bound+ageSlack {
				r.PastBound++
				recordFirst("agent %d did not have settings %d, given at %v, though it could reach a hub for %v, bound %v", a, published.version, published.publishedAt, unserved, bound)
			}
			if reached && appliedAt < 0 && i == len(l.publishedSettings)-1 {
				r.Lagging++
			}
		}
	}
	return r
}

// firstApplied returns the time at which a version or a later one was first applied, or a negative time if none was applied.
func firstApplied(list []appliedVersion, version int64) time.Duration {
	for _, x := range list {
		if x.version >= version {
			return max(0, x.at)
		}
	}
	return -1
}

// availabilityChange is a time at which the set of agents that can receive a version of the settings may change.
type availabilityChange struct {
	at  time.Duration
	hub int // the hub that has applied the version; -1 at the publication and at a change of reachability
}

// availabilityChanges returns the changes for a version, in order of time.
func (l *Lab) availabilityChanges(published *publishedVersion, hubs [][]appliedVersion) []availabilityChange {
	changes := []availabilityChange{{published.publishedAt, -1}}
	for h, list := range hubs {
		if at := firstApplied(list, published.version); at >= 0 {
			changes = append(changes, availabilityChange{at, h})
		}
	}
	for i := range l.reachability {
		changes = append(changes, availabilityChange{l.reachability[i].at, -1})
	}
	slices.SortStableFunc(changes, func(a, b availabilityChange) int { return int(a.at - b.at) })
	return changes
}

// maxUnservedTime returns the longest uninterrupted time for which an agent could reach a hub that had a version or could
// receive it, from the publication of the version until the agent applied it. It also reports whether the agent could reach a
// hub with the version, or one that could receive it, at the end of this time.
func (l *Lab) maxUnservedTime(published *publishedVersion, agent int, appliedAt, end time.Duration, hubs [][]appliedVersion) (longest time.Duration, reached bool) {
	if appliedAt >= 0 {
		end = min(end, appliedAt)
	}
	has := make([]bool, len(hubs))
	for _, h := range published.hubs {
		has[h] = true
	}
	changes := l.availabilityChanges(published, hubs)
	reachedSince, current := time.Duration(-1), 0
	for i, change := range changes {
		if change.hub >= 0 {
			has[change.hub] = true
		}
		for current+1 < len(l.reachability) && l.reachability[current+1].at <= change.at {
			current++
		}
		inRange := change.at >= published.publishedAt && change.at < end
		lastOfItsTime := i+1 == len(changes) || changes[i+1].at != change.at
		if !inRange || !lastOfItsTime || len(l.reachability) == 0 {
			continue
		}
		state := &l.reachability[current]
		if reached = state.agentReaches(agent, state.hubsReachableFrom(has)); !reached {
			reachedSince = -1
			continue
		}
		if reachedSince < 0 {
			reachedSince = change.at
		}
		until := end
		if i+1 < len(changes) {
			until = min(end, changes[i+1].at)
		}
		longest = max(longest, until-reachedSince)
	}
	return longest, reached
}
