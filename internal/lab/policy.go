package lab

// The residency policy of a run.

import (
	"path/filepath"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/scenario"
	"martenbeam/internal/residency"
)

func (l *Lab) policyFile(a *agent) string { return filepath.Join(a.dir, "policy.toml") }

// publishInitialPolicy writes the initial policy to its sources and reports it to the checker.
func (l *Lab) publishInitialPolicy() error {
	s := &l.Scenario.Shared
	if s.Policy == "" {
		return nil
	}
	l.residency = &check.Residency{PropagationBound: s.PolicyBound.Duration() + pauseSlack}
	var files []string
	for n := range s.Sources {
		if len(l.hubs) > 0 {
			files = append(files, l.hubs[n].policyFile())
		} else {
			files = append(files, l.policyFile(l.agents[n]))
		}
	}
	for _, file := range files {
		if err := replaceFile(file, s.Policy); err != nil {
			return err
		}
	}
	return l.publishPolicy(0, s.Policy)
}

// publishPolicy reports a policy to the checker.
func (l *Lab) publishPolicy(now time.Duration, text string) error {
	p, err := residency.Parse("policy", text)
	if err != nil {
		return err
	}
	h := residency.NewHolder(l.Scenario.Fleet.Zones, time.Hour, true, discardLog, nil)
	if err := h.Apply(p.Version, text); err != nil {
		return err
	}
	l.residency.Publish(now, p.Version, func(tenant, class, zone int) bool {
		rule := h.RuleID(tenants[tenant].name, classes[class].name) // registers the rule, so the call has to come before Table
		return h.Table().Permits(rule, zone)
	})
	return nil
}

// applyPolicyFault writes a new policy to sources and reports it to the checker. Lab.mu is held.
func (l *Lab) applyPolicyFault(i int, f *scenario.Fault, now time.Duration) {
	var files []string
	if len(l.hubs) > 0 {
		for _, h := range l.pickHubs(i, f.Targets) {
			files = append(files, h.policyFile())
		}
	} else {
		for _, a := range l.pickAgents(i, f.Targets) {
			files = append(files, l.policyFile(a))
		}
	}
	for _, file := range files {
		if err := replaceFile(file, f.Document); err != nil {
			l.fail(err)
		}
	}
	if err := l.publishPolicy(now, f.Document); err != nil {
		l.fail(err)
	}
}
