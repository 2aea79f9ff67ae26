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
	fetchWithin = 2 * time.Second
	fetchAgain  = time.Second // a text that could not be had is asked for again
	mostDigests = 64          // texts under one version
	mostAsked   = 256         // digests of which it is known when they were asked for
)

// Standing is the version of a text that a process holds, as a fact's body.
type Standing struct {
	Version int64    `cbor:"1,keyasint"`
	Digests []string `cbor:"2,keyasint"` // of the texts that it knows under the version
}

// Body is the standing as a fact's body.
func (s Standing) Body() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // it holds numbers and names alone
	}
	return body
}

// ParseStanding reads a fact's body. It reports false where it makes no sense.
func ParseStanding(body []byte) (s Standing, ok bool) {
	return s, cbor.Unmarshal(body, &s) == nil && s.Version >= 1 && len(s.Digests) > 0 && len(s.Digests) <= mostDigests
}

// Holder keeps the text in force at a process.
type Holder interface {
	Take(version int64, text string) error // never back: of a lower version it is an error
	Text(digest string) (version int64, text string, ok bool)
}

// Kind is one kind of text at one process.
type Kind struct {
	Fact    gossip.Kind
	Subject string // of the fact that tells of it
	Path    string // where texts are asked for, by digest
	Most    int    // bytes
	Holder  Holder
	State   func() Standing
	Digest  func(text string) string
	Confirm func(version int64, digest string, age time.Duration) // that a source still held it so long ago; nil: it never grows stale
	Wants   func(version int64, digest string) bool               // of what is not in force, whether to ask for it; nil: always
	Spread  time.Duration                                         // full jitter before it is asked for: many may hear of it at once

	mu    sync.Mutex
	asked map[string]time.Time // by digest
}

// Asked is whom to ask for a text: addresses, the source first, and how to reach them.
type Asked struct {
	Addrs []string
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Follow heeds what a source holds: a text that is not known here is asked for by a task of its own.
func (k *Kind) Follow(ctx context.Context, w gossip.Fact, ask func() Asked) {
	s, ok := ParseStanding(w.Body)
	if !ok {
		return
	}
	mine := k.State()
	for _, digest := range s.Digests {
		switch {
		case s.Version < mine.Version || s.Version == mine.Version && slices.Contains(mine.Digests, digest):
			if k.Confirm != nil {
				k.Confirm(s.Version, digest, w.Age)
			}
		case (k.Wants == nil || k.Wants(s.Version, digest)) && k.due(digest):
			go k.fetch(ctx, digest, s.Version, ask())
		}
	}
}

// due reports whether a text may be asked for now.
func (k *Kind) due(digest string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, asked := k.asked[digest]; asked && time.Since(at) <= fetchAgain+k.Spread {
		return false
	}
	if k.asked == nil || len(k.asked) >= mostAsked {
		k.asked = map[string]time.Time{}
	}
	k.asked[digest] = time.Now()
	return true
}

// fetch asks a few processes for a text, its source first. A text that nobody can hand out, though a source tells of it, is
// not in force anywhere yet that was heard here.
func (k *Kind) fetch(ctx context.Context, digest string, version int64, ask Asked) {
	if k.Spread > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(k.Spread)):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchWithin)
	defer cancel()
	for _, addr := range ask.Addrs {
		text, err := k.get(ctx, ask, addr, digest)
		if err != nil || k.Digest(text.Text) != digest || text.Version != version {
			continue // not to be had there, or another text by now
		}
		_ = k.Holder.Take(text.Version, text.Text) // it logs what is wrong with it
		return
	}
}

type handed struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

func (k *Kind) get(ctx context.Context, ask Asked, addr, digest string) (t handed, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: ask.Dial, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+k.Path+digest, nil)
	if err != nil {
		return t, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return t, fmt.Errorf("status %d", resp.StatusCode)
	}
	return t, json.NewDecoder(io.LimitReader(resp.Body, int64(2*k.Most))).Decode(&t)
}

// Serve hands out the text of a digest.
func (k *Kind) Serve(w http.ResponseWriter, digest string) {
	version, text, ok := k.Holder.Text(digest)
	if !ok {
		http.Error(w, "no such text is here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(handed{version, text}) // the other side sees that it is cut off
}
