package config

// The checks of an agent's configuration. Only the first error is reported, so the order of the checks matters.

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/strictconfig"
)

const (
	minDuration = strictconfig.Duration(time.Millisecond)
	maxDuration = strictconfig.Duration(24 * time.Hour)
	second      = strictconfig.Duration(time.Second)
)

func (c *Config) check() error {
	if c.Zones.invalidKey != "" {
		return c.errorAt(c.Zones.invalidKey, "%s", c.Zones.reason)
	}
	for _, check := range []func() error{c.checkAddresses, c.checkNumbers, c.checkDurations, c.checkStrings, c.checkFleet} {
		if err := check(); err != nil {
			return err
		}
	}
	if !slices.Contains(c.Zones.Names, c.Zone) {
		return c.errorAt("zone", "%q is not one of the zones", c.Zone)
	}
	return c.checkClasses()
}

func (c *Config) checkAddresses() error {
	hasPeers := len(c.Peers.Addresses) > 0
	addresses := []addressKey{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"mgmt", c.Mgmt, false},
		{"peers.listen", c.Peers.Listen, hasPeers}}
	for _, peer := range c.Peers.Addresses {
		addresses = append(addresses, addressKey{"peers.addresses", peer, true})
	}
	return checkAddresses(addresses, c.errorAt)
}

func (c *Config) checkNumbers() error {
	for _, number := range []struct {
		key             string
		value, min, max float64
	}{
		{"limits.cores", c.Limits.Cores, 0, 64},
		{"limits.memory_mb", float64(c.Limits.MemoryMB), 0, 65536},
		{"limits.sockets", float64(c.Limits.Sockets), 32, 1 << 20},
		{"limits.open", float64(c.Limits.MaxOpen), 0, 1e6},
		{"attempts.most", float64(c.Attempts.Max), 1, 20},
		{"backends.cold_from", c.Backends.InitialCapacity, 0, 1},
		{"backends.fall_multiple", c.Backends.OverloadMultiple, 0, 1000},
		{"prices.cross_zone", c.Prices.CrossZone, 0, 1},
		{"prices.cross_region", c.Prices.CrossRegion, 0, 1},
		{"peers.self", float64(c.Peers.Self), 0, max(0, float64(len(c.Peers.Addresses)-1))},
	} {
		if !(number.value >= number.min && number.value <= number.max) { // rejects NaN too
			return c.errorAt(number.key, "%v is not between %v and %v", number.value, number.min, number.max)
		}
	}
	return nil
}

func (c *Config) checkDurations() error {
	for _, duration := range []struct {
		key             string
		value, min, max strictconfig.Duration
	}{
		{"attempts.connect_timeout", c.Attempts.ConnectTimeout, minDuration, maxDuration},
		{"attempts.idle_close", c.Attempts.IdleClose, minDuration, maxDuration},
		{"attempts.tick", c.Attempts.Tick, 0, second},
		{"refusals.grace", c.Refusals.Grace, 0, second},
		{"refusals.most_retry_after", c.Refusals.MaxRetryAfter, 0, maxDuration},
		{"backends.drain_grace", c.Backends.DrainGrace, 0, maxDuration},
		{"backends.ramp", c.Backends.SlowStartWindow, 0, maxDuration},
		{"backends.fall_window", c.Backends.OverloadWindow, 0, maxDuration},
	} {
		if duration.value < duration.min || duration.value > duration.max {
			return c.errorAt(duration.key, "%v is not between %v and %v",
				duration.value.Duration(), duration.min.Duration(), duration.max.Duration())
		}
	}
	return nil
}

func (c *Config) checkStrings() error {
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		return c.errorAt("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if c.Lists != "pushed" && c.Lists != "asked" {
		return c.errorAt("lists", `%q is not "pushed" or "asked"`, c.Lists)
	}
	if _, err := netip.ParseAddr(c.Attempts.SourceAddr); c.Attempts.SourceAddr != "" && err != nil {
		return c.errorAt("attempts.from", "%q is not an IP address", c.Attempts.SourceAddr)
	}
	return nil
}

func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return c.errorAt("class", "at least one [[class]] is required")
	}
	for i, class := range c.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		objective, deadline := class.LatencyObjective, class.Deadline
		switch {
		case class.Name == "":
			return c.errorAt(key("name"), "is required")
		case semanticsByEffect[class.Idempotency] == "":
			return c.errorAt(key("effect"), `%q is not "safe", "keyed" or "once"`, class.Idempotency)
		case wireGroups[class.Group] == "":
			return c.errorAt(key("group"), `%q is not "all", "zone" or "pod"`, class.Group)
		case class.Idempotency == "keyed" && class.DedupWindow <= 0:
			return c.errorAt(key("window"), "is required for a keyed class: the time for which backends drop duplicates")
		case objective <= 0 || deadline < objective || deadline > maxDuration:
			return c.errorAt(key("deadline"), "aim %v and deadline %v: the aim must be above 0, the deadline between the aim and 24h",
				objective.Duration(), deadline.Duration())
		case !(class.PriorityWeight >= 0):
			return c.errorAt(key("worth"), "%v is negative", class.PriorityWeight)
		}
	}
	return nil
}
