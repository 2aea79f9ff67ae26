package membership

// This file configures an agent's hub client.

import (
	"bytes"
	"io"
	"net"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/agent"
	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hubclient"
)

// hubClientConfig returns the configuration of a hub client from that of a fleet and the addresses of the hubs by zone. If the
// fleet has seeds the client can fall back to a full mesh.
func hubClientConfig(fleetCfg fleet.Config, hubs map[string]string, cfg *agent.Config) hubclient.Config {
	region := func(zone string) string {
		if i := slices.Index(cfg.Site.Zones, zone); i >= 0 && i < len(cfg.Settings.Regions) {
			return strconv.Itoa(cfg.Settings.Regions[i])
		}
		return ""
	}
	clientCfg := hubclient.Config{
		Name: fleetCfg.Name, Site: fleetCfg.Site, Region: region(fleetCfg.Site), Version: fleetCfg.Version, Label: fleetCfg.Label,
		Listen: fleetCfg.Listen, Advertise: fleetCfg.Advertise, AwaitAddress: fleetCfg.AwaitAddress,
		MaxAgents: fleetCfg.MaxMembers, Incarnations: fleetCfg.Incarnations, AgeBounds: fleetCfg.AgeBounds,
		RelayedLists: fleetCfg.RelayedLists, ListRate: fleetCfg.ListRate, Residency: fleetCfg.Residency,
		Log: fleetCfg.Log, Trace: fleetCfg.Trace,
	}
	for zone, addr := range hubs {
		clientCfg.Hubs = append(clientCfg.Hubs, hubclient.Hub{Zone: zone, Region: region(zone), Addr: addr})
	}
	if len(fleetCfg.Seeds) > 0 {
		clientCfg.NewMesh = func(listener *net.TCPListener, startedAt time.Time, callbacks fleet.Callbacks) (*fleet.Fleet, error) {
			fleetCfg.Listener, fleetCfg.StartedAt, fleetCfg.AwaitAddress = listener, startedAt, false
			if clientCfg.Trace != nil {
				fleetCfg.Trace = quotaFilter{clientCfg.Trace}
			}
			return fleet.New(fleetCfg, cfg.Site.Zones, callbacks)
		}
	}
	return clientCfg
}

// quotaFilter keeps the quotas of the full mesh out of a trace. The agent uses the lower of the mesh's and the hubs' quota, and
// the trace may contain only the quota in use.
type quotaFilter struct{ trace io.Writer }

// Write drops a line with a quota and passes on any other.
func (f quotaFilter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"part":`)) {
		return len(line), nil
	}
	return f.trace.Write(line)
}
