// Tests of one document between processes: what is fetched, confirmed, rejected and served.

package documents

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

const waitTimeout = 10 * time.Second

// fakeHolder holds texts by digest, and applies any higher version.
type fakeHolder struct {
	mu        sync.Mutex
	applied   AppliedVersion
	texts     map[string]string
	confirmed []string
}

func newFakeHolder(version int64, text string) *fakeHolder {
	h := &fakeHolder{texts: map[string]string{}}
	if version > 0 {
		h.applied, h.texts[digestOf(text)] = AppliedVersion{version, []string{digestOf(text)}}, text
	}
	return h
}

func digestOf(text string) string { return "digest-of-" + text }

func (h *fakeHolder) Apply(version int64, text string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.applied.Version {
		return errors.New("outdated version")
	}
	h.applied, h.texts[digestOf(text)] = AppliedVersion{version, []string{digestOf(text)}}, text
	return nil
}

func (h *fakeHolder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, ok = h.texts[digest]
	return h.applied.Version, text, ok
}

func (h *fakeHolder) current() AppliedVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied
}

func (h *fakeHolder) confirmations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.confirmed)
}

func (h *fakeHolder) document() *Document {
	return &Document{GossipKind: gossip.SettingsVersion, Subject: "settings", Path: "/settings/", MaxBytes: 1 << 10, Holder: h,
		Applied: h.current, Digest: digestOf,
		Confirm: func(_ int64, digest string, _ time.Duration) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.confirmed = append(h.confirmed, digest)
		}}
}

// source serves the document of a holder over HTTP, and counts the requests.
type source struct {
	addr     string
	mu       sync.Mutex
	requests []string // digests
}

func startSource(t *testing.T, h *fakeHolder) *source {
	t.Helper()
	s, d := &source{}, h.document()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		digest := strings.TrimPrefix(r.URL.Path, d.Path)
		s.mu.Lock()
		s.requests = append(s.requests, digest)
		s.mu.Unlock()
		d.Serve(w, digest)
	}))
	t.Cleanup(server.Close)
	s.addr = server.Listener.Addr().String()
	return s
}

func (s *source) requested() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

func sourcesAt(addrs ...string) func() Sources {
	return func() Sources { return Sources{Addrs: addrs, Dial: (&net.Dialer{}).DialContext} }
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

func entryOf(version int64, digests ...string) gossip.Entry {
	return gossip.Entry{Kind: gossip.SettingsVersion, Subject: "settings", Body: AppliedVersion{version, digests}.MarshalBody()}
}

func TestFollowFetchesNewerTextFromNextSourceThatHasIt(t *testing.T) {
	outdatedSource, currentSource := startSource(t, newFakeHolder(1, "one")), startSource(t, newFakeHolder(2, "two"))
	h := newFakeHolder(1, "one")
	h.document().Follow(t.Context(), entryOf(2, digestOf("two")), sourcesAt(outdatedSource.addr, currentSource.addr))
	waitFor(t, "the newer version", func() bool { return h.current().Version == 2 })
	for _, s := range []*source{outdatedSource, currentSource} {
		if got := s.requested(); !slices.Equal(got, []string{digestOf("two")}) {
			t.Errorf("got requests %q, want one for the newer text", got)
		}
	}
}

func TestFollowConfirmsAppliedTextsWithoutFetching(t *testing.T) {
	s := startSource(t, newFakeHolder(3, "three"))
	for name, entry := range map[string]gossip.Entry{
		"same version":  entryOf(3, digestOf("three")),
		"lower version": entryOf(2, digestOf("two")),
	} {
		h := newFakeHolder(3, "three")
		d := h.document()
		d.Follow(t.Context(), entry, sourcesAt(s.addr))
		published, _ := ParseAppliedVersion(entry.Body)
		if got := h.confirmations(); !slices.Equal(got, published.Digests) {
			t.Errorf("%s: confirmed %q, want %q", name, got, published.Digests)
		}
		if len(d.lastFetch) > 0 {
			t.Errorf("%s: fetches %v, want none", name, d.lastFetch)
		}
	}
}

func TestFollowFetchesADigestOncePerRetryInterval(t *testing.T) {
	s := startSource(t, newFakeHolder(0, ""))
	d := newFakeHolder(1, "one").document()
	startedAt := time.Now()
	for range 50 {
		d.Follow(t.Context(), entryOf(2, digestOf("two")), sourcesAt(s.addr))
	}
	waitFor(t, "the first fetch", func() bool { return len(s.requested()) == 1 })
	waitFor(t, "the second fetch", func() bool {
		d.Follow(t.Context(), entryOf(2, digestOf("two")), sourcesAt(s.addr))
		return len(s.requested()) == 2
	})
	if took := time.Since(startedAt); took <= fetchRetryInterval {
		t.Errorf("second fetch started after %v, want a longer interval", took)
	}
}

func TestFollowSkipsFetchThatShouldFetchRejects(t *testing.T) {
	s := startSource(t, newFakeHolder(2, "two"))
	h := newFakeHolder(1, "one")
	d := h.document()
	var queried []string
	d.ShouldFetch = func(version int64, digest string) bool {
		queried = append(queried, digest)
		return false
	}
	d.Follow(t.Context(), entryOf(2, digestOf("two")), sourcesAt(s.addr))
	if !slices.Equal(queried, []string{digestOf("two")}) || len(d.lastFetch) > 0 {
		t.Errorf("ShouldFetch was called for %q; fetches %v, want none", queried, d.lastFetch)
	}
}

func TestFetchEndsWithContext(t *testing.T) {
	s := startSource(t, newFakeHolder(2, "two"))
	h := newFakeHolder(1, "one")
	d := h.document()
	d.FetchJitter = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.fetch(ctx, digestOf("two"), 2, sourcesAt(s.addr)()) // returns at once
	if len(s.requested()) > 0 || h.current().Version != 1 {
		t.Errorf("got %d requests and applied version %d, want no request and version 1", len(s.requested()), h.current().Version)
	}
}

func TestFetchRejectsResponsesWithOtherDigestOrVersion(t *testing.T) {
	h := newFakeHolder(1, "one")
	d := h.document()
	s := startSource(t, newFakeHolder(2, "two"))
	d.fetch(t.Context(), digestOf("two"), 3, sourcesAt(s.addr)())
	d.Digest = func(string) string { return "another" }
	d.fetch(t.Context(), digestOf("two"), 2, sourcesAt(s.addr)())
	if got := len(s.requested()); got != 2 || h.current().Version != 1 {
		t.Errorf("got %d requests and applied version %d, want 2 requests and version 1", got, h.current().Version)
	}
}

func TestServeReturnsNotFoundForUnknownDigest(t *testing.T) {
	d := newFakeHolder(2, "two").document()
	for digest, want := range map[string]int{digestOf("two"): http.StatusOK, digestOf("one"): http.StatusNotFound} {
		w := httptest.NewRecorder()
		d.Serve(w, digest)
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", digest, w.Code, want)
		}
	}
}

func TestParseAppliedVersionRejectsUnusableBodies(t *testing.T) {
	encode := func(v any) []byte {
		body, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	for name, test := range map[string]struct {
		body []byte
		ok   bool
	}{
		"valid":            {AppliedVersion{1, []string{"a", "b"}}.MarshalBody(), true},
		"most digests":     {AppliedVersion{1, make([]string, maxDigests)}.MarshalBody(), true},
		"too many digests": {AppliedVersion{1, make([]string, maxDigests+1)}.MarshalBody(), false},
		"no version":       {AppliedVersion{0, []string{"a"}}.MarshalBody(), false},
		"no digest":        {AppliedVersion{1, nil}.MarshalBody(), false},
		"other type":       {encode("text"), false},
		"empty":            {nil, false},
	} {
		if _, ok := ParseAppliedVersion(test.body); ok != test.ok {
			t.Errorf("%s: ok %v, want %v", name, ok, test.ok)
		}
	}
}
