package fleet

// This file tests the relaying of endpoint lists.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"martenbeam/internal/fleet/source"
)

// A relay sends the list of the service: the full list to a new follower and changes to others, but no list while it
// receives nothing from the service, and no list that came from another relay. Other members request the list from a relay
// first, and from the service if no relay responds.
func TestRelayForwardsListsOfTheListService(t *testing.T) {
	t.Parallel()
	list := startFleet(t, 3, 3, func(_ int, c *Config) { c.Site, c.RelayedLists = "a", true })
	relays := list[0].relayMembers()
	if len(relays) != 1 {
		t.Fatalf("got %d relays, want 1", len(relays))
	}
	var relay, other *testProcess
	for _, process := range list {
		if process.cfg.Name == relays[0].Name {
			relay = process
		} else {
			other = process
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if src, ok := relay.Next(ctx, 0); !ok || src.Relayed {
		t.Errorf("the relay's source is %+v, want the list service", src)
	}
	src, ok := other.Next(ctx, 0)
	if !ok || !src.Relayed || src.Addr != relay.Addr() {
		t.Fatalf("another member's source is %+v, want the relay", src)
	}
	if src, ok := other.Next(ctx, maxRelayAttempts); !ok || src.Relayed {
		t.Errorf("after failed attempts at relays another member's source is %+v, want the list service", src)
	}
	follow := func(since int) (*json.Decoder, func()) { return followList(ctx, t, other, src.Addr, since) }
	if decoder, end := follow(0); decoder != nil { // nothing was received from the service for longer than relayMaxServiceAge
		end()
		t.Error("a relay without a list sent a list, want status 503")
	}
	nextUpdate := func(decoder *json.Decoder) listUpdate { return readUpdate(t, decoder) }
	relay.RecordLiveness(source.Source{})
	relay.RecordUpdate(source.Source{}, 0, 7, nil, []byte(`{"version":7,"full":true}`))
	relay.RecordUpdate(source.Source{Relayed: true}, 7, 99, []byte(`{"version":99}`), []byte(`{"version":99,"full":true}`))
	decoder, end := follow(0)
	defer end()
	if m := nextUpdate(decoder); m.Version != 7 || !m.Full {
		t.Errorf("got update %+v, want the full list at version 7", m)
	}
	relay.RecordLiveness(source.Source{})
	relay.RecordUpdate(source.Source{}, 7, 8, []byte(`{"version":8}`), []byte(`{"version":8,"full":true}`))
	if m := nextUpdate(decoder); m.Version != 8 || m.Full {
		t.Errorf("got update %+v, want a change to version 8", m)
	}
	for since, wantFull := range map[int]bool{7: false, 3: true} {
		decoder, end := follow(since)
		if m := nextUpdate(decoder); m.Version != 8 || m.Full != wantFull {
			t.Errorf("since version %d: got update %+v, want version 8, full %v", since, m, wantFull)
		}
		end()
	}
}

// followList requests the list since a version from the relay at an address, over connections of another process. It returns
// a decoder of the updates and a function that ends the request, or no decoder if the relay has no list.
func followList(ctx context.Context, t *testing.T, process *testProcess, addr string, since int) (*json.Decoder, func()) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: process.Dial, DisableKeepAlives: true}}
	ctx, cancel := context.WithCancel(ctx)
	url := fmt.Sprintf("http://%s/catalog/members?follow=1&since=%d", addr, since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		resp.Body.Close()
		return nil, func() {}
	}
	return json.NewDecoder(resp.Body), func() { cancel(); resp.Body.Close() }
}

// listUpdate holds the fields of an update that the test checks.
type listUpdate struct {
	Version int
	Full    bool
}

// readUpdate waits for the next update.
func readUpdate(t *testing.T, decoder *json.Decoder) (m listUpdate) {
	t.Helper()
	if err := decoder.Decode(&m); err != nil {
		t.Fatal(err)
	}
	return m
}
