package simagent

// Attachment of a simulated agent to a hub.

import (
	"context"
	"log/slog"
	"net"
	"strings"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hubclient"
	"martenbeam/internal/settings"
)

// attachToHub creates the client that attaches the agent to one of its hubs and receives settings from the hub.
func (a *Agent) attachToHub(log *slog.Logger, callbacks fleet.Callbacks) (err error) {
	spec := &a.spec
	settingsHolder := settings.NewHolder(settings.Config{Log: log, Apply: func(document *settings.Settings) ([]string, error) {
		a.settingsVersion.Store(document.Version)
		a.reportApplied(Settings, document.Version)
		return nil, nil
	}})
	a.hubClient, err = hubclient.New(hubclient.Config{
		Name: spec.Name, Site: spec.Zone, Region: spec.Region, Version: announcedVersion, Label: spec.Label, Listen: spec.Listen,
		Hubs: spec.Hubs, MaxAgents: spec.MaxMembers, AwaitAddress: !strings.HasSuffix(spec.Listen, ":0"), RelayedLists: true,
		ListRate: listRate, Residency: a.policyHolder, Settings: settingsHolder, Log: log,
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return a.wire.Dial(ctx, &net.Dialer{KeepAlive: -1}, addr)
		}}, spec.Zones, callbacks)
	a.client = a.hubClient
	return err
}
