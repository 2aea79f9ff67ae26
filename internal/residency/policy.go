// Package residency says in which zones a tenant's requests may be served.
//
// A policy names regions, the sites that belong to each, and for each tenant the regions that are permitted. It fails
// closed: a site in no region, a zone that nobody configured and a policy that can't be read permit a bound tenant
// nothing. Versions only grow; two texts under one version permit what both permit.
package residency

import (
	"fmt"
	"maps"
	"slices"

	"martenbeam/internal/strictconfig"
	"martenbeam/internal/versionedfile"
)

// Bounds of a policy.
const (
	MaxText         = 256 << 10 // bytes
	maxRegions      = 1024
	maxTenants      = 10000
	maxDocuments    = 64 // texts under one version
	serveWhenStale  = "serve"
	refuseWhenStale = "refuse"
	anyRegion       = "*"
)

// Policy is one text of a policy, as read.
type Policy struct {
	Version     int64               `toml:"version"`
	WhenStale   string              `toml:"when_stale"` // "serve" or "refuse", for tenants that don't say
	Regions     map[string][]string `toml:"regions"`    // the sites of each
	Tenants     map[string]Tenant   `toml:"tenant"`
	DefaultRule Rule                `toml:"others"` // tenants that are not named

	text string
}

// Rule is what holds for a tenant, or for one class of its requests.
type Rule struct {
	Permitted []string `toml:"permitted"`  // regions; "*" alone: anywhere
	WhenStale string   `toml:"when_stale"` // "": as the policy says
}

// Tenant is a named one's rule, and those of its classes that differ.
type Tenant struct {
	Rule
	Classes map[string]Rule `toml:"class"`
}

// Parse reads a policy. file names it in errors, which name the key, too.
func Parse(file, text string) (*Policy, error) {
	if len(text) > MaxText {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", file, len(text), MaxText)
	}
	p := &Policy{text: text}
	if err := strictconfig.Decode(file, text, p); err != nil {
		return nil, err
	}
	return p, p.check(file)
}

func (p *Policy) check(file string) error {
	errorAt := func(key, format string, args ...any) error {
		return strictconfig.ErrorAt(file, p.text, key, format, args...)
	}
	switch {
	case p.Version < 1:
		return errorAt("version", "%d is not a number from 1: each change has a higher one", p.Version)
	case len(p.Regions) == 0:
		return errorAt("regions", "at least one is needed")
	case len(p.Regions) > maxRegions:
		return errorAt("regions", "%d are more than %d", len(p.Regions), maxRegions)
	case len(p.Tenants) > maxTenants:
		return errorAt("tenant", "%d are more than %d", len(p.Tenants), maxTenants)
	case p.WhenStale != "" && p.WhenStale != serveWhenStale && p.WhenStale != refuseWhenStale:
		return errorAt("when_stale", `%q is none of "serve", "refuse"`, p.WhenStale)
	}
	regionOf := map[string]string{}
	for _, region := range slices.Sorted(maps.Keys(p.Regions)) {
		for _, site := range p.Regions[region] {
			if other, duplicate := regionOf[site]; duplicate {
				return errorAt("regions."+region, "site %q is in region %q already", site, other)
			}
			regionOf[site] = region
		}
	}
	checkRule := func(key string, r Rule) error {
		if len(r.Permitted) == 0 {
			return errorAt(key, "permitted: regions are needed, or \"*\" alone")
		}
		for _, region := range r.Permitted {
			if _, known := p.Regions[region]; !known && !(region == anyRegion && len(r.Permitted) == 1) {
				return errorAt(key+".permitted", "%q is no region: there are %v", region, slices.Sorted(maps.Keys(p.Regions)))
			}
		}
		if r.WhenStale != "" && r.WhenStale != serveWhenStale && r.WhenStale != refuseWhenStale {
			return errorAt(key+".when_stale", `%q is none of "serve", "refuse"`, r.WhenStale)
		}
		return nil
	}
	if err := checkRule("others", p.DefaultRule); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		t := p.Tenants[name]
		if err := checkRule("tenant."+name, t.Rule); err != nil {
			return err
		}
		for _, class := range slices.Sorted(maps.Keys(t.Classes)) {
			if err := checkRule("tenant."+name+".class."+class, t.Classes[class]); err != nil {
				return err
			}
		}
	}
	return nil
}

// ruleFor is what holds for a tenant's requests of a class.
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

// permittedZones says which of the zones a rule permits. nil: all, those that nobody knows included.
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

// Digest tells texts apart.
func Digest(text string) string { return versionedfile.Digest(text) }
