package residency

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/residency/gate"
)

var zones = []string{"riga-a", "riga-b", "liepaja", "nowhere"}

func text(version int, permitted, whenStale string) string {
	return fmt.Sprintf(`version = %d
when_stale = "serve"
[regions]
riga = ["riga-a", "riga-b"]
kurzeme = ["liepaja"]
[others]
permitted = ["*"]
[tenant.post]
permitted = [%s]
when_stale = "%s"
[tenant.post.class.route]
permitted = ["kurzeme"]
`, version, permitted, whenStale)
}

var silent = slog.New(slog.DiscardHandler)

func permitted(h *Holder, tenant, class string) (list []string) {
	rule := h.Rule(tenant, class)
	t := h.Table()
	for i, z := range zones {
		if t.Permits(rule, i) {
			list = append(list, z)
		}
	}
	if t.Permits(rule, -1) {
		list = append(list, "unknown")
	}
	return list
}

func want(t *testing.T, h *Holder, tenant, class string, list ...string) {
	t.Helper()
	if got := permitted(h, tenant, class); !slices.Equal(got, list) {
		t.Errorf("%s %s: permitted %v, want %v", tenant, class, got, list)
	}
}

func TestWhatIsPermitted(t *testing.T) {
	h := NewHolder(zones, time.Second, true, silent, nil)
	want(t, h, "post", "update") // no policy has come: nothing
	if err := h.Take(1, text(1, `"riga"`, "serve")); err != nil {
		t.Fatal(err)
	}
	want(t, h, "post", "update", "riga-a", "riga-b")
	want(t, h, "post", "route", "liepaja")
	want(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	if h.Table().Permits(mostRules, 0) {
		t.Error("a rule of no table is permitted")
	}
	if none := (&gate.Table{}); !none.Permits(0, -1) {
		t.Error("without a policy something is not permitted")
	}
}

// Versions only grow; two texts under one version permit what both permit; a text that can't be read refuses whom the
// one before bound, and the next good one ends that.
func TestVersions(t *testing.T) {
	var kept []int64
	h := NewHolder(zones, time.Second, true, silent, func(v int64, _ []string) error { kept = append(kept, v); return nil })
	take := func(v int, s string, fails bool) {
		t.Helper()
		if err := h.Take(int64(v), s); (err != nil) != fails {
			t.Errorf("version %d: %v", v, err)
		}
	}
	take(2, text(2, `"riga", "kurzeme"`, "serve"), false)
	take(1, text(1, `"*"`, "serve"), true)
	want(t, h, "post", "update", "riga-a", "riga-b", "liepaja")
	take(3, text(3, `"riga", "kurzeme"`, "serve"), false)
	take(3, text(3, `"riga"`, "serve"), false)
	want(t, h, "post", "update", "riga-a", "riga-b")
	take(3, text(3, `"kurzeme"`, "serve"), false)
	want(t, h, "post", "update")
	want(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	take(4, text(4, `"kurzeme"`, "serve"), false)
	want(t, h, "post", "update", "liepaja")
	take(5, "version = 5\nhalf a", true)
	want(t, h, "post", "update")
	want(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	take(6, text(6, `"riga"`, "serve"), false)
	want(t, h, "post", "update", "riga-a", "riga-b")
	if !slices.Equal(kept, []int64{2, 3, 3, 3, 4, 5, 6}) {
		t.Errorf("kept %v", kept)
	}
}

// An agent that has not heard of its policy for longer than the bound does as each tenant's rule says.
func TestStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder(zones, 3*time.Second, false, silent, nil)
		s := text(1, `"riga"`, "refuse")
		if err := h.Take(1, s); err != nil {
			t.Fatal(err)
		}
		want(t, h, "post", "update") // taken, but nobody has said that it is the latest
		h.Confirm(1, Digest(s), time.Second)
		want(t, h, "post", "update", "riga-a", "riga-b")
		h.Confirm(1, Digest(s), 2*time.Second) // an older word changes nothing
		time.Sleep(2*time.Second + time.Millisecond)
		want(t, h, "post", "update")
		want(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
		h.Confirm(2, Digest(s), 0)
		h.Confirm(1, "other", 0)
		want(t, h, "post", "update")
		h.Confirm(1, Digest(s), 0)
		want(t, h, "post", "update", "riga-a", "riga-b")
	})
}

// What is wrong with a policy is told with its line and key.
func TestErrors(t *testing.T) {
	good := text(1, `"riga"`, "serve")
	for _, c := range []struct{ old, new, want string }{
		{"version = 1", "version = 0", "p.toml:1: version"},
		{`"riga-b"]`, `"liepaja"]`, "regions.riga"},
		{`permitted = ["*"]`, `permitted = []`, "others"},
		{`permitted = ["riga"]`, `permitted = ["vidzeme"]`, "tenant.post.permitted"},
		{`permitted = ["riga"]`, `permitted = ["*", "riga"]`, "tenant.post.permitted"},
		{`when_stale = "serve"` + "\n[regions]", `when_stale = "perhaps"` + "\n[regions]", "when_stale"},
		{`permitted = ["kurzeme"]`, `permitted = ["kurzeme"]` + "\nspill = true", "spill"},
		{"[others]", "[other]", "other"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("%q is not in the text", c.old)
		}
		_, err := Parse("p.toml", strings.Replace(good, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "p.toml") {
			t.Errorf("%q: %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Parse("p.toml", strings.Repeat("#", MaxText+1)); err == nil {
		t.Error("a text of any length is read")
	}
	var log bytes.Buffer
	h := NewHolder(zones, time.Second, true, slog.New(slog.NewTextHandler(&log, nil)), func(int64, []string) error { return errors.New("the disk is full") })
	if err := h.Take(1, good); err != nil || !strings.Contains(log.String(), "the disk is full") {
		t.Errorf("%v: %s", err, log.String())
	}
	h.Refused(h.Rule("post", "update"), 2)
	h.Refused(99, -1)
	if st := h.State(); st.Refused[[2]string{"post", "liepaja"}] != 1 || st.Refused[[2]string{"", "unknown"}] != 1 {
		t.Errorf("%v", st.Refused)
	}
}

func BenchmarkPermits(b *testing.B) {
	h := NewHolder(zones, time.Second, true, silent, nil)
	if err := h.Take(1, text(1, `"riga"`, "serve")); err != nil {
		b.Fatal(err)
	}
	rule := h.Rule("post", "update")
	for b.Loop() {
		if !h.Table().Permits(rule, 1) || h.Table().Permits(rule, 2) {
			b.Fatal("wrong")
		}
	}
}
