// The documents of this agent, settings and residency policy: what it has applied, and following what hubs have.

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
	fetchJitter    = time.Second // all agents of a hub learn of a new document at the same time: spreads their fetches
	maxReasonBytes = 512         // of an AppliedVersion.Reason; package frame rejects longer ones
)

// agentState is the state that this agent reports to its hub. It is comparable: a change is sent at once.
type agentState struct {
	serving          bool
	settings, policy frame.AppliedVersion
}

// currentState returns the state of this agent now.
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

// appliedSettings returns the applied version of the settings. Its reason names what is wrong, and the keys that only
// the next start of the agent applies.
func appliedSettings(h *settings.Holder) frame.AppliedVersion {
	applied := frame.AppliedVersion(h.Status())
	if pendingRestart := h.State().PendingRestart; len(pendingRestart) > 0 {
		reason := "for the next start: " + strings.Join(pendingRestart, ", ")
		if applied.Reason != "" {
			reason = applied.Reason + "; " + reason
		}
		applied.Reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "") // the cut may split a character
	}
	return applied
}

// appliedPolicy returns the applied version of the residency policy. If several texts have that version, there is a
// reason and no digest.
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

// followDocuments compares the versions that hubs hold with the applied ones, and fetches from this agent's hub what
// it lacks.
func (c *Client) followDocuments(ctx context.Context) {
	for _, document := range c.documents {
		for _, entry := range c.store.Entries(document.GossipKind) {
			document.Follow(ctx, entry, c.documentSources)
		}
	}
}

// documentSources returns this agent's hub as the only source of documents, or none when it is not attached.
func (c *Client) documentSources() documents.Sources {
	sources := documents.Sources{Dial: c.dial}
	if addr := c.hubAddr(); addr != "" {
		sources.Addrs = []string{addr}
	}
	return sources
}
