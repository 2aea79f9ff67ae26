package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/strictconfig"
)

func (c *Config) check() error {
	if c.Zones.invalidKey != "" {
		return c.errorAt(c.Zones.invalidKey, "%s", c.Zones.reason)
	}
	hasNoPeers := len(c.Peers.Addresses) == 0
	for _, a := range []struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"mgmt", c.Mgmt, false}, {"peers.listen", c.Peers.Listen, !hasNoPeers}} {
		if err := c.checkAddress(a.key, a.value, a.needed); err != nil {
			return err
		}
	}
	for _, a := range c.Peers.Addresses {
		if err := c.checkAddress("peers.addresses", a, true); err != nil {
			return err
		}
	}
	for _, limit := range []struct {
		key            string
		value, low, up float64
	}{
		{"limits.cores", c.Limits.Cores, 0, 64}, {"limits.memory_mb", float64(c.Limits.MemoryMB), 0, 65536},
		{"limits.sockets", float64(c.Limits.Sockets), 32, 1 << 20}, {"limits.open", float64(c.Limits.MaxOpen), 0, 1e6},
		{"attempts.most", float64(c.Attempts.Max), 1, 20}, {"backends.cold_from", c.Backends.InitialCapacity, 0, 1},
		{"backends.fall_multiple", c.Backends.OverloadMultiple, 0, 1000}, {"prices.cross_zone", c.Prices.CrossZone, 0, 1},
		{"prices.cross_region", c.Prices.CrossRegion, 0, 1},
		{"peers.self", float64(c.Peers.Self), 0, max(0, float64(len(c.Peers.Addresses)-1))},
	} {
		if !(limit.value >= limit.low && limit.value <= limit.up) {
			return c.errorAt(limit.key, "%v is not between %v and %v", limit.value, limit.low, limit.up)
		}
	}
	const maxDuration = strictconfig.Duration(24 * time.Hour)
	minDuration := strictconfig.Duration(time.Millisecond)
	for _, limit := range []struct {
		key            string
		value, low, up strictconfig.Duration
	}{
		{"attempts.connect_timeout", c.Attempts.ConnectTimeout, minDuration, maxDuration}, {"attempts.idle_close", c.Attempts.IdleClose, minDuration, maxDuration},
		{"attempts.tick", c.Attempts.Tick, 0, strictconfig.Duration(time.Second)}, {"refusals.grace", c.Rejections.Grace, 0, strictconfig.Duration(time.Second)},
		{"refusals.most_retry_after", c.Rejections.MaxRetryAfter, 0, maxDuration}, {"backends.drain_grace", c.Backends.DrainGrace, 0, maxDuration},
		{"backends.ramp", c.Backends.SlowStartWindow, 0, maxDuration}, {"backends.fall_window", c.Backends.OverloadWindow, 0, maxDuration},
	} {
		if limit.value < limit.low || limit.value > limit.up {
			return c.errorAt(limit.key, "%v is not between %v and %v", limit.value.Duration(), limit.low.Duration(), limit.up.Duration())
		}
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		return c.errorAt("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if c.Lists != "pushed" && c.Lists != "asked" {
		return c.errorAt("lists", `%q is none of "pushed", "asked"`, c.Lists)
	}
	if _, err := netip.ParseAddr(c.Attempts.SourceAddr); c.Attempts.SourceAddr != "" && err != nil {
		return c.errorAt("attempts.from", "%q is no IP address", c.Attempts.SourceAddr)
	}
	if err := c.checkFleet(); err != nil {
		return err
	}
	if !slices.Contains(c.Zones.Names, c.Zone) {
		return c.errorAt("zone", "%q is none of zones", c.Zone)
	}
	if len(c.Classes) == 0 {
		return c.errorAt("class", "at least one [[class]] is needed")
	}
	for i, class := range c.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		switch {
		case class.Name == "":
			return c.errorAt(key("name"), "is needed")
		case semanticsByEffect[class.Idempotency] == "":
			return c.errorAt(key("effect"), `%q is none of "safe", "keyed", "once"`, class.Idempotency)
		case wireGroups[class.Group] == "":
			return c.errorAt(key("group"), `%q is none of "all", "zone", "pod"`, class.Group)
		case class.Idempotency == "keyed" && class.DedupWindow <= 0:
			return c.errorAt(key("window"), "a keyed class needs the time for which repeats are dropped")
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective || class.Deadline > maxDuration:
			return c.errorAt(key("deadline"), "aim %v and deadline %v: both above 0, the aim no later", class.LatencyObjective.Duration(), class.Deadline.Duration())
		case !(class.PriorityWeight >= 0):
			return c.errorAt(key("worth"), "%v is negative", class.PriorityWeight)
		}
	}
	return nil
}
