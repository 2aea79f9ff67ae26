// Package residency decides in which zones a tenant's requests may be served.
//
// A policy is a TOML document with a version. It names regions, the sites (zones) that belong to each, and for each tenant
// the regions that are permitted. A policy fails closed: a restricted tenant is permitted only configured zones that
// belong to its regions, and is refused while the policy is unusable. Versions only grow, also across restarts. Two documents
// of one version permit only the zones that both permit.
//
// # State and owners
//
// The file that Watch reads belongs to the operator; it exists only at a source. A Holder owns the policy in force at one
// process, and the state file policy.json in its folder, if it has one. The fields of a Holder are guarded by Holder.mu. The
// gate.Table that a Holder returns is immutable, and is replaced whenever the policy, its staleness or the known tenants change.
//
// A policy is checked on arrival (Parse), and enforced twice: by the decision module, and by the gate right before each send.
// The age of a policy is the time since a source last confirmed the version (Holder.Confirm). Each call of Holder.Table
// compares the age with the holder's maxAge. Above maxAge the rule of each tenant decides whether the old policy applies or
// requests are refused.
package residency

import (
	"fmt"
	"maps"
	"slices"

	"martenbeam/internal/strictconfig"
	"martenbeam/internal/versionedfile"
)

// MaxText is the maximum size of a policy document, in bytes.
const MaxText = 256 << 10

const (
	maxRegions   = 1024
	maxTenants   = 10000
	maxDocuments = 64 // of one version
)

// Values in a policy document.
const (
	serveWhenStale  = "serve"
	refuseWhenStale = "refuse"
	anyRegion       = "*"
)

// Policy is a parsed policy document. It is immutable after Parse.
type Policy struct {
	Version     int64               `toml:"version"`
	WhenStale   string              `toml:"when_stale"` // "serve" or "refuse", for rules without when_stale; "": "serve"
	Regions     map[string][]string `toml:"regions"`    // the sites of each region
	Tenants     map[string]Tenant   `toml:"tenant"`
	DefaultRule Rule                `toml:"others"` // for tenants that are not named

	text string
}

// Rule sets the regions that are permitted to a tenant, or to one class of its requests.
type Rule struct {
	Permitted []string `toml:"permitted"`  // regions; "*" alone: anywhere
	WhenStale string   `toml:"when_stale"` // "serve" or "refuse"; "": inherited from the tenant or the policy
}

// Tenant is the rule of a named tenant, and the rules of classes that differ from it.
type Tenant struct {
	Rule
	Classes map[string]Rule `toml:"class"`
}

// Parse parses and checks a policy document. file names it in errors, which are of type *strictconfig.Error and name the key
// and, where the key is in the text, its line. After an error the policy must not be used.
func Parse(file, text string) (*Policy, error) {
	if len(text) > MaxText {
		return nil, &strictconfig.Error{File: file, Message: fmt.Sprintf("%d bytes, must be at most %d", len(text), MaxText)}
	}
	p := &Policy{text: text}
	if err := strictconfig.Decode(file, text, p); err != nil {
		return nil, err
	}
	return p, p.check(file)
}

// errorAtFunc returns an error that names a key.
type errorAtFunc func(key, format string, args ...any) error

func (p *Policy) check(file string) error {
	errorAt := func(key, format string, args ...any) error {
		return strictconfig.ErrorAt(file, p.text, key, format, args...)
	}
	switch {
	case p.Version < 1:
		return errorAt("version", "%d is below 1: the first version is 1, and each change needs a higher one", p.Version)
	case len(p.Regions) == 0:
		return errorAt("regions", "at least one is required")
	case len(p.Regions) > maxRegions:
		return errorAt("regions", "%d entries, must be at most %d", len(p.Regions), maxRegions)
	case len(p.Tenants) > maxTenants:
		return errorAt("tenant", "%d entries, must be at most %d", len(p.Tenants), maxTenants)
	case !isValidWhenStale(p.WhenStale):
		return errorAt("when_stale", `%q is not "serve" or "refuse"`, p.WhenStale)
	}
	if err := p.checkRegions(errorAt); err != nil {
		return err
	}
	return p.checkRules(errorAt)
}

func isValidWhenStale(value string) bool {
	return value == "" || value == serveWhenStale || value == refuseWhenStale
}

// checkRegions returns an error if a site is in two regions.
func (p *Policy) checkRegions(errorAt errorAtFunc) error {
	regionOf := map[string]string{}
	for _, region := range slices.Sorted(maps.Keys(p.Regions)) {
		for _, site := range p.Regions[region] {
			if other, duplicate := regionOf[site]; duplicate {
				return errorAt("regions."+region, "site %q is already in region %q", site, other)
			}
			regionOf[site] = region
		}
	}
	return nil
}

func (p *Policy) checkRules(errorAt errorAtFunc) error {
	if err := p.checkRule(errorAt, "others", p.DefaultRule); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		tenant := p.Tenants[name]
		if err := p.checkRule(errorAt, "tenant."+name, tenant.Rule); err != nil {
			return err
		}
		for _, class := range slices.Sorted(maps.Keys(tenant.Classes)) {
			if err := p.checkRule(errorAt, "tenant."+name+".class."+class, tenant.Classes[class]); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRule checks the rule at a key: its regions exist, or it permits any region.
func (p *Policy) checkRule(errorAt errorAtFunc, key string, r Rule) error {
	if len(r.Permitted) == 0 {
		return errorAt(key, "permitted: must list regions, or \"*\" alone")
	}
	for _, region := range r.Permitted {
		if _, known := p.Regions[region]; !known && !(region == anyRegion && len(r.Permitted) == 1) {
			return errorAt(key+".permitted", "%q is not a region; the regions are %v", region, slices.Sorted(maps.Keys(p.Regions)))
		}
	}
	if !isValidWhenStale(r.WhenStale) {
		return errorAt(key+".when_stale", `%q is not "serve" or "refuse"`, r.WhenStale)
	}
	return nil
}

// ruleFor returns the rule for a tenant's requests of a class, with the WhenStale that it inherits.
func (p *Policy) ruleFor(tenant, class string) Rule {
	r := p.DefaultRule
	if t, named := p.Tenants[tenant]; named {
		r = t.Rule
		if c, differs := t.Classes[class]; differs {
			if c.WhenStale == "" {
				c.WhenStale = r.WhenStale
			}
			r = c
		}
	}
	if r.WhenStale == "" {
		r.WhenStale = p.WhenStale
	}
	return r
}

// permittedZones returns, by zone number, whether a rule permits the zone. nil means that it permits every zone, including
// unknown ones.
func (p *Policy) permittedZones(r Rule, zones []string) []bool {
	if len(r.Permitted) == 1 && r.Permitted[0] == anyRegion {
		return nil
	}
	permitted := make([]bool, len(zones))
	for _, region := range r.Permitted {
		for _, site := range p.Regions[region] {
			for i, zone := range zones {
				permitted[i] = permitted[i] || zone == site
			}
		}
	}
	return permitted
}

// Digest returns a hash that distinguishes documents of one version.
func Digest(text string) string { return versionedfile.Digest(text) }
