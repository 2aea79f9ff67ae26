package membership

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

// hubClientConfig is an agent's place in a fleet with hubs, by zone. Its flat place, if it knows any others, is the one to go back to.
func hubClientConfig(fleetCfg fleet.Config, hubs map[string]string, cfg *agent.Config) hubclient.Config {
	region := func(zone string) string {
		if i := slices.Index(cfg.Site.Zones, zone); i >= 0 && i < len(cfg.Settings.Regions) {
			return strconv.Itoa(cfg.Settings.Regions[i])
		}
		return ""
	}
	clientCfg := hubclient.Config{Name: fleetCfg.Name, Site: fleetCfg.Site, Region: region(fleetCfg.Site), Version: fleetCfg.Version, Label: fleetCfg.Label, Listen: fleetCfg.Listen, Advertise: fleetCfg.Advertise,
		MaxAgents: fleetCfg.MaxMembers, AwaitAddress: fleetCfg.AwaitAddress, Incarnations: fleetCfg.Incarnations, Bounds: fleetCfg.AgeBounds, Relayed: fleetCfg.RelayedLists, ListRate: fleetCfg.ListRate, Residency: fleetCfg.Residency, Log: fleetCfg.Log, Trace: fleetCfg.Trace}
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

// quotaFilter leaves out of a trace which part the flat fleet would give: the agent's is the lower of that and the hubs'.
type quotaFilter struct{ trace io.Writer }

func (f quotaFilter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"part":`)) {
		return len(line), nil
	}
	return f.trace.Write(line)
}
