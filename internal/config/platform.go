package config

// The configuration of an agent in the platform's form: JSON that the agent's program reads.

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"martenbeam/internal/strictconfig"
)

// listPollInterval is the maximum time between two polls of the endpoint list by an agent that polls.
const listPollInterval = 10 * time.Second

// Enum values in the platform's form, by those in the file.
var (
	semanticsByEffect = map[string]string{"safe": "repeatable", "keyed": "by_key", "once": "once"}
	wireGroups        = map[string]string{"": "all", "all": "all", "zone": "zone", "pod": "cell"}
	membershipModes   = map[string]string{"pushed": "automatic", "asked": "subscribe"}
)

// Platform returns the configuration in the platform's form. If the configuration has no seed, each call uses a new
// random one.
func (c *Config) Platform() ([]byte, error) {
	seed := c.Seed
	if seed == "" {
		seed = fmt.Sprintf("%016x", rand.Uint64())
	}
	fleet, residency := c.extensions()
	return json.Marshal(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "mgmt": c.Mgmt, "seed": seed,
		"limits":    map[string]any{"cores": c.Limits.Cores, "memory_mb": c.Limits.MemoryMB, "sockets": c.Limits.Sockets},
		"dial_from": c.Attempts.SourceAddr, "peer_listen": c.Peers.Listen, "peers": c.Peers.Addresses,
		"settings": c.platformSettings(),
	})
}

// platformSettings returns the section of the platform's form that configures the decision module.
func (c *Config) platformSettings() map[string]any {
	return map[string]any{
		"Balancers": max(1, len(c.Peers.Addresses)), "Me": c.Peers.Self,
		"Zone": slices.Index(c.Zones.Names, c.Zone), "Dcs": c.Zones.Names, "Regions": c.Zones.regionIDs(), "Kinds": c.Kinds,
		"CountedBy": "request", "MembershipMode": membershipModes[c.Lists], "TickMs": millis(c.Attempts.Tick),
		"Profiles": c.platformClasses(),
		"PolicyLimits": map[string]any{
			"TryLimit": c.Attempts.Max, "SecondCopies": c.Attempts.Hedging, "MayProbe": c.Attempts.HealthChecks,
			"Cancel": c.Attempts.Cancel, "RetryAfter": c.Refusals.RetryAfter, "Peers": len(c.Peers.Addresses) > 1,
			"MaxRetryAfterMs": millis(c.Refusals.MaxRetryAfter), "ConnectTimeoutMs": millis(c.Attempts.ConnectTimeout),
			"IdleCloseMs": millis(c.Attempts.IdleClose), "MaxOpen": c.Limits.MaxOpen,
		},
		"Contract": map[string]any{
			"AskWithinMs": listPollInterval.Seconds() * 1e3, "DrainGraceMs": millis(c.Backends.DrainGrace),
			"GraceToAnswerMs": millis(c.Refusals.Grace), "ColdFrom": c.Backends.InitialCapacity,
			"RampTimeMs": millis(c.Backends.SlowStartWindow), "FallMultiple": c.Backends.OverloadMultiple,
			"FallMs": millis(c.Backends.OverloadWindow),
		},
		"FamilyInfo": map[string]any{"WarmKeys": c.Backends.WarmKeys},
		"Prices":     map[string]any{"CrossZone": c.Prices.CrossZone, "CrossRegion": c.Prices.CrossRegion},
		"Goal":       map[string]any{"Whole": 1},
		"Report":     map[string]any{"Source": "off"},
	}
}

func (c *Config) platformClasses() (classes []map[string]any) {
	for _, class := range c.Classes {
		classes = append(classes, map[string]any{
			"Name": class.Name, "AimMs": millis(class.LatencyObjective), "DeadlineMs": millis(class.Deadline),
			"Worth": class.PriorityWeight, "Semantics": semanticsByEffect[class.Idempotency], "Group": wireGroups[class.Group],
			"WindowMs": millis(class.DedupWindow),
		})
	}
	return classes
}

// millis converts a duration to milliseconds.
func millis(d strictconfig.Duration) float64 { return d.Duration().Seconds() * 1e3 }
