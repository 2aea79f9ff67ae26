package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"martenbeam/internal/strictconfig"
)

// What the words of a class are called on the platform's wire.
var (
	semanticsByEffect = map[string]string{"safe": "repeatable", "keyed": "by_key", "once": "once"}
	wireGroups        = map[string]string{"": "all", "all": "all", "zone": "zone", "pod": "cell"}
)

// Platform is the same configuration in the platform's form.
func (c *Config) Platform() ([]byte, error) {
	ms := func(d strictconfig.Duration) float64 { return d.Duration().Seconds() * 1e3 }
	var profiles []map[string]any
	for _, class := range c.Classes {
		profiles = append(profiles, map[string]any{"Name": class.Name, "AimMs": ms(class.LatencyObjective), "DeadlineMs": ms(class.Deadline), "Worth": class.PriorityWeight,
			"Semantics": semanticsByEffect[class.Idempotency], "Group": wireGroups[class.Group], "WindowMs": ms(class.DedupWindow)})
	}
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
		"settings": map[string]any{
			"Balancers": max(1, len(c.Peers.Addresses)), "Me": c.Peers.Self, "Zone": slices.Index(c.Zones.Names, c.Zone), "Dcs": c.Zones.Names, "Regions": c.Zones.regionIDs(), "Kinds": c.Kinds,
			"CountedBy": "request", "MembershipMode": map[string]string{"pushed": "automatic", "asked": "subscribe"}[c.Lists], "TickMs": ms(c.Attempts.Tick), "Profiles": profiles,
			"PolicyLimits": map[string]any{"TryLimit": c.Attempts.Max, "SecondCopies": c.Attempts.Hedging, "MayProbe": c.Attempts.HealthChecks,
				"Cancel": c.Attempts.Cancel, "RetryAfter": c.Rejections.RetryAfter, "Peers": len(c.Peers.Addresses) > 1,
				"MaxRetryAfterMs": ms(c.Rejections.MaxRetryAfter), "ConnectTimeoutMs": ms(c.Attempts.ConnectTimeout),
				"IdleCloseMs": ms(c.Attempts.IdleClose), "MaxOpen": c.Limits.MaxOpen},
			"Contract": map[string]any{"AskWithinMs": listPollInterval.Seconds() * 1e3, "DrainGraceMs": ms(c.Backends.DrainGrace), "GraceToAnswerMs": ms(c.Rejections.Grace), "ColdFrom": c.Backends.InitialCapacity,
				"RampTimeMs": ms(c.Backends.SlowStartWindow), "FallMultiple": c.Backends.OverloadMultiple, "FallMs": ms(c.Backends.OverloadWindow)},
			"FamilyInfo": map[string]any{"WarmKeys": c.Backends.WarmKeys}, "Prices": map[string]any{"CrossZone": c.Prices.CrossZone, "CrossRegion": c.Prices.CrossRegion},
			"Goal": map[string]any{"Whole": 1}, "Report": map[string]any{"Source": "off"},
		}})
}

// listPollInterval is how long an agent may go without asking for the list, where lists are asked for.
const listPollInterval = 10 * time.Second
