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
func hubClientConfig(c fleet.Config, hubs map[string]string, cfg *agent.Config) hubclient.Config {
	region := func(zone string) string {
		if i := slices.Index(cfg.Site.Zones, zone); i >= 0 && i < len(cfg.Settings.Regions) {
			return strconv.Itoa(cfg.Settings.Regions[i])
		}
		return ""
	}
	h := hubclient.Config{Name: c.Name, Site: c.Site, Region: region(c.Site), Version: c.Version, Label: c.Label, Listen: c.Listen, Advertise: c.Advertise,
		MaxAgents: c.MaxMembers, AwaitAddress: c.AwaitAddress, Incarnations: c.Incarnations, Bounds: c.AgeBounds, Relayed: c.RelayedLists, ListRate: c.ListRate, Residency: c.Residency, Log: c.Log, Trace: c.Trace}
	for zone, addr := range hubs {
		h.Hubs = append(h.Hubs, hubclient.Hub{Zone: zone, Region: region(zone), Addr: addr})
	}
	if len(c.Seeds) > 0 {
		h.NewMesh = func(door *net.TCPListener, began time.Time, told fleet.Callbacks) (*fleet.Fleet, error) {
			c.Listener, c.StartedAt, c.AwaitAddress = door, began, false
			if h.Trace != nil {
				c.Trace = quotaFilter{h.Trace}
			}
			return fleet.New(c, cfg.Site.Zones, told)
		}
	}
	return h
}

// quotaFilter leaves out of a trace which part the flat fleet would give: the agent's is the lower of that and the hubs'.
type quotaFilter struct{ w io.Writer }

func (p quotaFilter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"part":`)) {
		return len(line), nil
	}
	return p.w.Write(line)
}
