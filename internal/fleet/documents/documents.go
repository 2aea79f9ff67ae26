// Package documents has a text with a version come to a whole fleet: who holds it tells its version and digest as a fact, and
// who does not know the digest asks for the text over HTTP. The policy of residency and the agents' settings are such texts.
package documents

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

const (
	fetchTimeout       = 2 * time.Second
	fetchRetryInterval = time.Second // a text that could not be had is asked for again
	maxDigests         = 64          // texts under one version
	maxTrackedFetches  = 256         // digests of which it is known when they were asked for
)

// AppliedVersion is the version of a text that a process holds, as a fact's body.
type AppliedVersion struct {
	Version int64    `cbor:"1,keyasint"`
	Digests []string `cbor:"2,keyasint"` // of the texts that it knows under the version
}

// MarshalBody is the standing as a fact's body.
func (s AppliedVersion) MarshalBody() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // it holds numbers and names alone
	}
	return body
}

// ParseAppliedVersion reads a fact's body. It reports false where it makes no sense.
func ParseAppliedVersion(body []byte) (s AppliedVersion, ok bool) {
	return s, cbor.Unmarshal(body, &s) == nil && s.Version >= 1 && len(s.Digests) > 0 && len(s.Digests) <= maxDigests
}

// Holder keeps the text in force at a process.
type Holder interface {
	Apply(version int64, text string) error // never back: of a lower version it is an error
	Text(digest string) (version int64, text string, ok bool)
}

// Document is one kind of text at one process.
type Document struct {
	GossipKind  gossip.Kind
	Subject     string // of the fact that tells of it
	Path        string // where texts are asked for, by digest
	MaxBytes    int    // bytes
	Holder      Holder
	Applied     func() AppliedVersion
	Digest      func(text string) string
	Confirm     func(version int64, digest string, age time.Duration) // that a source still held it so long ago; nil: it never grows stale
	ShouldFetch func(version int64, digest string) bool               // of what is not in force, whether to ask for it; nil: always
	FetchJitter time.Duration                                         // full jitter before it is asked for: many may hear of it at once

	mu        sync.Mutex
	lastFetch map[string]time.Time // by digest
}

// Sources is whom to ask for a text: addresses, the source first, and how to reach them.
type Sources struct {
	Addrs []string
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Follow heeds what a source holds: a text that is not known here is asked for by a task of its own.
func (d *Document) Follow(ctx context.Context, entry gossip.Entry, sources func() Sources) {
	published, ok := ParseAppliedVersion(entry.Body)
	if !ok {
		return
	}
	applied := d.Applied()
	for _, digest := range published.Digests {
		switch {
		case published.Version < applied.Version || published.Version == applied.Version && slices.Contains(applied.Digests, digest):
			if d.Confirm != nil {
				d.Confirm(published.Version, digest, entry.Age)
			}
		case (d.ShouldFetch == nil || d.ShouldFetch(published.Version, digest)) && d.fetchAllowed(digest):
			go d.fetch(ctx, digest, published.Version, sources())
		}
	}
}

// fetchAllowed reports whether a text may be asked for now.
func (d *Document) fetchAllowed(digest string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, known := d.lastFetch[digest]; known && time.Since(last) <= fetchRetryInterval+d.FetchJitter {
		return false
	}
	if d.lastFetch == nil || len(d.lastFetch) >= maxTrackedFetches {
		d.lastFetch = map[string]time.Time{}
	}
	d.lastFetch[digest] = time.Now()
	return true
}

// fetch asks a few processes for a text, its source first. A text that nobody can hand out, though a source tells of it, is
// not in force anywhere yet that was heard here.
func (d *Document) fetch(ctx context.Context, digest string, version int64, sources Sources) {
	if d.FetchJitter > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(d.FetchJitter)):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for _, addr := range sources.Addrs {
		response, err := d.fetchFrom(ctx, sources, addr, digest)
		if err != nil || d.Digest(response.Text) != digest || response.Version != version {
			continue // not to be had there, or another text by now
		}
		_ = d.Holder.Apply(response.Version, response.Text) // it logs what is wrong with it
		return
	}
}

type textResponse struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

func (d *Document) fetchFrom(ctx context.Context, sources Sources, addr, digest string) (response textResponse, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: sources.Dial, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+d.Path+digest, nil)
	if err != nil {
		return response, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response, fmt.Errorf("status %d", resp.StatusCode)
	}
	return response, json.NewDecoder(io.LimitReader(resp.Body, int64(2*d.MaxBytes))).Decode(&response)
}

// Serve hands out the text of a digest.
func (d *Document) Serve(w http.ResponseWriter, digest string) {
	version, text, ok := d.Holder.Text(digest)
	if !ok {
		http.Error(w, "no such text is here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(textResponse{version, text}) // the other side sees that it is cut off
}
