package hollow

import (
	"context"
	"log/slog"
	"net"
	"strings"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hubclient"
	"martenbeam/internal/settings"
)

// attach has the agent have a hub.
func (a *Agent) attach(log *slog.Logger, told fleet.Callbacks) (err error) {
	s := &a.spec
	held := settings.NewHolder(settings.Config{Log: log, Apply: func(x *settings.Settings) ([]string, error) {
		a.settings.Store(x.Version)
		a.acted(Settings, x.Version)
		return nil, nil
	}})
	a.spoke, err = hubclient.New(hubclient.Config{Name: s.Name, Site: s.Zone, Region: s.Region, Version: "hollow", Label: s.Label, Listen: s.Listen, Hubs: s.Hubs,
		MaxAgents: s.Most, AwaitAddress: !strings.HasSuffix(s.Listen, ":0"), Relayed: true, ListRate: listRate, Residency: a.holder, Settings: held, Log: log,
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return a.wire.Dial(ctx, &net.Dialer{KeepAlive: -1}, addr)
		}}, s.Zones, told)
	a.place = a.spoke
	return err
}
