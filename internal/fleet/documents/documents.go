// Package documents distributes versioned documents, texts with a version number and a digest, to all processes of a fleet:
// the residency policy and the agents' settings. A process publishes the version and the digests of its applied document as
// a gossip entry; a process that does not have the text with such a digest fetches the text over HTTP from one that does.
// The version at a process never decreases, because the Holder rejects lower versions.
//
// # Ownership of state
//
// The applied text belongs to the Holder, which checks, stores and applies it. A Document also records when each digest was
// last fetched, protected by a lock; its other fields are constant. The owner of the gossip store calls Follow with each
// valid entry, several times a second. Each fetch runs in its own goroutine, which no caller waits for: it ends when the
// context passed to Follow ends.
//
// An applied text does not expire with the gossip entries: a process that can reach no source keeps using it. Where the age
// matters, as for the residency policy, Confirm notifies the Holder when a source was last observed to have the text.
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
	fetchTimeout       = 2 * time.Second // limit on the requests of one fetch to all its sources
	fetchRetryInterval = time.Second     // shortest time between two fetches of one digest, to which FetchJitter is added
	maxDigests         = 64              // in one AppliedVersion
	maxTrackedFetches  = 256             // digests whose last fetch is recorded
)

// AppliedVersion is the version of a document that a process has applied, as published in the body of a gossip entry.
type AppliedVersion struct {
	Version int64    `cbor:"1,keyasint"` // 0: none
	Digests []string `cbor:"2,keyasint"` // of all texts received with that version; more than one is an operator's mistake
}

// MarshalBody encodes the version as the body of a gossip entry.
func (v AppliedVersion) MarshalBody() []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // impossible: numbers and strings always encode
	}
	return body
}

// ParseAppliedVersion decodes the body of a gossip entry. ok is false if the body is malformed, has no version or no digest,
// or has too many digests.
func ParseAppliedVersion(body []byte) (v AppliedVersion, ok bool) {
	if err := cbor.Unmarshal(body, &v); err != nil {
		return v, false
	}
	return v, v.Version >= 1 && len(v.Digests) > 0 && len(v.Digests) <= maxDigests
}

// Holder keeps the applied text of a document at one process. Its methods may be called from any goroutine.
type Holder interface {
	// Apply checks a text and applies it. It returns an error if the version is below the applied one or the text is
	// invalid. The Holder logs these errors.
	Apply(version int64, text string) error
	// Text returns the text with a digest and its version. ok is false if the Holder does not have it.
	Text(digest string) (version int64, text string, ok bool)
}

// Document is one kind of document at one process. Its functions must be set unless noted, and are called from any
// goroutine. Its methods may be called from any goroutine. It must not be copied once it is used.
type Document struct {
	GossipKind gossip.Kind
	Subject    string // of the gossip entry that publishes it
	Path       string // of HTTP requests for texts; the digest follows
	MaxBytes   int    // of a text
	Holder     Holder
	Applied    func() AppliedVersion
	Digest     func(text string) string

	// Confirm, if set, is called when another process has published an applied text or an older one. age is the time since
	// that process published the entry.
	Confirm func(version int64, digest string, age time.Duration)
	// ShouldFetch reports whether to fetch a text that is not applied; nil: always.
	ShouldFetch func(version int64, digest string) bool
	// FetchJitter is the upper bound of a random delay before a fetch. It spreads the fetches of many processes that receive
	// a version at the same time.
	FetchJitter time.Duration

	mu        sync.Mutex
	lastFetch map[string]time.Time // by digest: when a fetch was last started
}

// Sources lists the processes to fetch a text from, in order and as IP:port, and how to connect to them.
type Sources struct {
	Addrs []string
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Follow compares the version that another process published in a gossip entry with the applied version. It calls Confirm
// for each published text that is applied or older than the applied one. For any other text it starts a goroutine that
// fetches the text from sources, unless a fetch of the digest started recently. It ignores malformed entries. It does not
// block; a fetch ends when ctx ends.
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

// fetchAllowed reports whether a fetch of a digest may start now, and if so records its start.
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

// fetch requests a text from the sources in turn and applies the first response with the right digest and version. If no
// source has the text, a later call of Follow starts another fetch.
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
			continue // the source failed, does not have the text, or returned another one
		}
		_ = d.Holder.Apply(response.Version, response.Text) // the Holder logs errors
		return
	}
}

// textResponse is the JSON body of a response to a fetch.
type textResponse struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

// fetchFrom requests a text from one source.
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
		return response, fmt.Errorf("fetch %s from %s: status %d", digest, addr, resp.StatusCode)
	}
	return response, json.NewDecoder(io.LimitReader(resp.Body, int64(2*d.MaxBytes))).Decode(&response)
}

// Serve responds to an HTTP request for the text with the given digest. The response is the text as JSON, or status 404 if
// the Holder does not have the text.
func (d *Document) Serve(w http.ResponseWriter, digest string) {
	version, text, ok := d.Holder.Text(digest)
	if !ok {
		http.Error(w, "no such text is here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(textResponse{version, text}) // on an error the client receives incomplete JSON
}
