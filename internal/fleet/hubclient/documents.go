// The documents of this agent, settings and residency policy: reporting applied versions and fetching newer ones from
// hubs.

package hubclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

const (
	fetchJitter    = time.Second // spreads the fetches of a hub's agents, which receive a new version at the same time
	maxReasonBytes = 512         // maximum length of AppliedVersion.Reason; package frame rejects longer reasons
)

// agentState is the state that this agent reports to its hub. It is comparable, so that writeLoop detects changes.
type agentState struct {
	serving          bool
	settings, policy frame.AppliedVersion
}

// currentState returns the current state of this agent.
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

// appliedSettings returns the applied version of the settings. Its Reason contains the error in the settings, if any,
// and the keys that take effect only when the agent restarts.
func appliedSettings(h *settings.Holder) frame.AppliedVersion {
	applied := frame.AppliedVersion(h.Status())
	if pendingRestart := h.State().PendingRestart; len(pendingRestart) > 0 {
		reason := "for the next start: " + strings.Join(pendingRestart, ", ")
		if applied.Reason != "" {
			reason = applied.Reason + "; " + reason
		}
		applied.Reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "") // truncation may split a character
	}
	return applied
}

// appliedPolicy returns the applied version of the residency policy. If several texts have that version, Reason states
// the number of texts and Digest is empty.
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

// setUpDocuments creates the documents that this agent follows.
func (c *Client) setUpDocuments() {
	if h := c.cfg.Residency; h != nil {
		document := fleet.PolicyDocument(h)
		document.FetchJitter = fetchJitter
		c.documents = append(c.documents, document)
	}
	if h := c.cfg.Settings; h != nil {
		document := settings.Document(h)
		document.FetchJitter = fetchJitter
		c.documents = append(c.documents, document)
	}
}

// followDocuments compares the versions that hubs publish with the applied versions, and fetches newer documents from
// this agent's hub.
func (c *Client) followDocuments(ctx context.Context) {
	for _, document := range c.documents {
		for _, entry := range c.store.Entries(document.GossipKind) {
			document.Follow(ctx, entry, c.documentSources)
		}
	}
}

// documentSources returns this agent's hub as the only source of documents, or no source if the agent is not attached.
func (c *Client) documentSources() documents.Sources {
	sources := documents.Sources{Dial: c.dial}
	if addr := c.hubAddr(); addr != "" {
		sources.Addrs = []string{addr}
	}
	return sources
}
