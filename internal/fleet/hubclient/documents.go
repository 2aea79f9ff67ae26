package hubclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// All agents of a hub hear of a new text at once, and ask for it within this time.
const fetchJitter = time.Second

const maxReasonBytes = 512 // bytes; what a frame takes

// agentState is how this agent stands, as a hub is told.
type agentState struct {
	serving          bool
	settings, policy frame.AppliedVersion
}

func (c *Client) currentState() agentState {
	current := agentState{serving: c.serving.Load()}
	if c.cfg.Settings != nil {
		current.settings = appliedSettings(c.cfg.Settings)
	}
	if c.cfg.Residency != nil {
		current.policy = appliedPolicy(c.cfg.Residency.State())
	}
	return current
}

// appliedSettings tells, besides what is wrong, which keys wait for the next start.
func appliedSettings(h *settings.Holder) frame.AppliedVersion {
	applied := frame.AppliedVersion(h.Status())
	if pendingRestart := h.State().PendingRestart; len(pendingRestart) > 0 {
		reason := "for the next start: " + strings.Join(pendingRestart, ", ")
		if applied.Reason != "" {
			reason = applied.Reason + "; " + reason
		}
		applied.Reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "") // a cut may go through a letter
	}
	return applied
}

func appliedPolicy(current residency.State) frame.AppliedVersion {
	applied := frame.AppliedVersion{Version: current.Version}
	switch len(current.Digests) {
	case 0:
	case 1:
		applied.Digest = current.Digests[0]
	default:
		applied.Reason = fmt.Sprintf("%d texts have this version", len(current.Digests))
	}
	return applied
}

// setUpDocuments sets up the texts that are followed.
func (c *Client) setUpDocuments() {
	if h := c.cfg.Residency; h != nil {
		document := fleet.PolicyReplicator(h)
		document.FetchJitter = fetchJitter
		c.documents = append(c.documents, document)
	}
	if h := c.cfg.Settings; h != nil {
		c.documents = append(c.documents, &documents.Document{GossipKind: gossip.SettingsVersion, Path: "/settings/", MaxBytes: settings.MaxText, Holder: h, Digest: settings.Digest, ShouldFetch: h.ShouldFetch,
			Applied: func() documents.AppliedVersion {
				current := h.State()
				return documents.AppliedVersion{Version: current.Version, Digests: current.Digests}
			}, FetchJitter: fetchJitter})
	}
}

// followDocuments heeds what hubs tell of texts, and asks this agent's hub for what it lacks.
func (c *Client) followDocuments(ctx context.Context) {
	for _, document := range c.documents {
		for _, entry := range c.store.Entries(document.GossipKind) {
			document.Follow(ctx, entry, c.documentSources)
		}
	}
}

func (c *Client) documentSources() documents.Sources {
	sources := documents.Sources{Dial: c.dial}
	if addr := c.hubAddr(); addr != "" {
		sources.Addrs = []string{addr}
	}
	return sources
}
