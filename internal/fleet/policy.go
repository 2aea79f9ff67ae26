package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"brookferry/internal/fleet/fact"
	"brookferry/internal/fleet/member"
	"brookferry/internal/residency"
)

const (
	policyEvery = 250 * time.Millisecond // a source tells its version, and the others look
	fetchWithin = 2 * time.Second
	fetchTries  = 4           // members asked for a text, its source twice
	fetchAgain  = time.Second // a text that could not be had is asked for again
)

// standing is the residency policy that a source holds, as a fact's body.
type standing struct {
	Version int64    `cbor:"1,keyasint"`
	Digests []string `cbor:"2,keyasint"` // of the texts that it knows under the version
}

// shareResidency tells the others which policy is in force here, if it is given here, and follows those of sources.
func (f *Fleet) shareResidency(ctx context.Context) {
	tick := time.NewTicker(policyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if st := f.cfg.Residency.State(); f.cfg.Source && st.Version > 0 {
			body, err := cbor.Marshal(standing{st.Version, st.Digests})
			if err != nil {
				panic(err) // it holds numbers and names alone
			}
			f.facts.Tell(fact.Residency, "policy", body)
		}
		for _, w := range f.facts.Now(fact.Residency) {
			if w.Observer != f.cfg.Name {
				f.followPolicy(ctx, w)
			}
		}
	}
}

// followPolicy heeds what a source holds: a text that is not known here is asked for, of the source or of whoever told.
func (f *Fleet) followPolicy(ctx context.Context, w fact.Fact) {
	var s standing
	if cbor.Unmarshal(w.Body, &s) != nil || s.Version < 1 || len(s.Digests) == 0 || len(s.Digests) > 64 {
		return
	}
	mine := f.cfg.Residency.State()
	for _, digest := range s.Digests {
		known := false
		for _, d := range mine.Digests {
			known = known || d == digest
		}
		if s.Version < mine.Version || s.Version == mine.Version && known {
			f.cfg.Residency.Confirm(s.Version, digest, w.Age)
			continue
		}
		f.mu.Lock()
		at, asked := f.fetched[digest]
		again := !asked || time.Since(at) > fetchAgain
		if again {
			f.fetched[digest] = time.Now()
		}
		f.mu.Unlock()
		if !again {
			continue
		}
		go f.fetchPolicy(ctx, digest, s.Version, w.Observer)
	}
}

// fetchPolicy asks a few members for a text, its source first. A text that nobody can hand out, though a source tells of
// it, is not in force anywhere yet that was heard here; the policy becomes stale meanwhile.
func (f *Fleet) fetchPolicy(ctx context.Context, digest string, version int64, source string) {
	ctx, cancel := context.WithTimeout(ctx, fetchWithin)
	defer cancel()
	view := f.list.View()
	var ask []member.Member
	if m, there := view.Named(source); there {
		ask = append(ask, m)
	}
	for m := range view.All() {
		if len(ask) == fetchTries {
			break
		}
		if m.Name != f.cfg.Name {
			ask = append(ask, m)
		}
	}
	for _, m := range ask {
		text, err := f.getPolicy(ctx, m.Addr.String(), digest)
		if err != nil {
			f.cfg.Log.Debug("residency: a text could not be had", "member", m.Name, "digest", digest, "error", err)
			continue
		}
		if residency.Digest(text.Text) != digest || text.Version != version {
			continue // another text by now
		}
		_ = f.cfg.Residency.Take(text.Version, text.Text) // it logs what is wrong with it
		return
	}
}

func (f *Fleet) getPolicy(ctx context.Context, addr, digest string) (t policyText, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: f.list.Dial, DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/residency/"+digest, nil)
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
	err = json.NewDecoder(io.LimitReader(resp.Body, 2*residency.MaxText)).Decode(&t)
	return t, err
}
