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

// zones are the zones' names by number; the last one is in no region.
var zones = []string{"riga-a", "riga-b", "liepaja", "nowhere"}

// policyText returns a policy that restricts the tenant post to regions, and its class route to one of them.
func policyText(version int, permitted, whenStale string) string {
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

var discardLog = slog.New(slog.DiscardHandler)

// permittedZones returns the names of the zones that are permitted now, with "unknown" for zone -1.
func permittedZones(h *Holder, tenant, class string) (zoneNames []string) {
	rule := h.RuleID(tenant, class)
	t := h.Table()
	for i, z := range zones {
		if t.Permits(rule, i) {
			zoneNames = append(zoneNames, z)
		}
	}
	if t.Permits(rule, -1) {
		zoneNames = append(zoneNames, "unknown")
	}
	return zoneNames
}

func assertPermitted(t *testing.T, h *Holder, tenant, class string, want ...string) {
	t.Helper()
	if got := permittedZones(h, tenant, class); !slices.Equal(got, want) {
		t.Errorf("%s %s: permitted %v, want %v", tenant, class, got, want)
	}
}

func TestRulesPermitOnlyTheirZones(t *testing.T) {
	h := NewHolder(zones, time.Second, true, discardLog, nil)
	assertPermitted(t, h, "post", "update") // without a policy no zone is permitted
	if err := h.Apply(1, policyText(1, `"riga"`, "serve")); err != nil {
		t.Fatal(err)
	}
	assertPermitted(t, h, "post", "update", "riga-a", "riga-b")
	assertPermitted(t, h, "post", "route", "liepaja")
	assertPermitted(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	if h.Table().Permits(maxRules, 0) {
		t.Error("rule outside the table permits a zone")
	}
	if none := (&gate.Table{}); !none.Permits(0, -1) {
		t.Error("rule 0 does not permit every zone")
	}
}

// Versions only grow. Two documents of one version permit only the zones that both permit. While a version is unusable, the
// tenants that the previous version restricts are refused.
func TestHigherVersionReplacesAndEqualVersionsIntersect(t *testing.T) {
	var saved []int64
	h := NewHolder(zones, time.Second, true, discardLog, func(v int64, _ []string) error { saved = append(saved, v); return nil })
	apply := func(v int, s string, fails bool) {
		t.Helper()
		if err := h.Apply(int64(v), s); (err != nil) != fails {
			t.Errorf("version %d: error %v is the opposite of the wanted result", v, err)
		}
	}
	apply(2, policyText(2, `"riga", "kurzeme"`, "serve"), false)
	apply(1, policyText(1, `"*"`, "serve"), true)
	assertPermitted(t, h, "post", "update", "riga-a", "riga-b", "liepaja")
	apply(3, policyText(3, `"riga", "kurzeme"`, "serve"), false)
	apply(3, policyText(3, `"riga"`, "serve"), false)
	assertPermitted(t, h, "post", "update", "riga-a", "riga-b")
	apply(3, policyText(3, `"kurzeme"`, "serve"), false)
	assertPermitted(t, h, "post", "update")
	assertPermitted(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	apply(4, policyText(4, `"kurzeme"`, "serve"), false)
	assertPermitted(t, h, "post", "update", "liepaja")
	apply(5, "version = 5\nhalf a", true)
	assertPermitted(t, h, "post", "update")
	assertPermitted(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
	apply(6, policyText(6, `"riga"`, "serve"), false)
	assertPermitted(t, h, "post", "update", "riga-a", "riga-b")
	if !slices.Equal(saved, []int64{2, 3, 3, 3, 4, 5, 6}) {
		t.Errorf("saved versions %v, want [2 3 3 3 4 5 6]", saved)
	}
}

// If the last confirmation is older than maxAge, each tenant is served or refused according to its rule.
func TestStalePolicyRefusesOrServesByRule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHolder(zones, 3*time.Second, false, discardLog, nil)
		s := policyText(1, `"riga"`, "refuse")
		if err := h.Apply(1, s); err != nil {
			t.Fatal(err)
		}
		assertPermitted(t, h, "post", "update") // in force, but not confirmed as the latest
		h.Confirm(1, Digest(s), time.Second)
		assertPermitted(t, h, "post", "update", "riga-a", "riga-b")
		h.Confirm(1, Digest(s), 2*time.Second) // an older confirmation has no effect
		time.Sleep(2*time.Second + time.Millisecond)
		assertPermitted(t, h, "post", "update")
		assertPermitted(t, h, "someone", "update", "riga-a", "riga-b", "liepaja", "nowhere", "unknown")
		h.Confirm(2, Digest(s), 0)
		h.Confirm(1, "other", 0)
		assertPermitted(t, h, "post", "update")
		h.Confirm(1, Digest(s), 0)
		assertPermitted(t, h, "post", "update", "riga-a", "riga-b")
	})
}

// The error for an unusable policy names file and key. A policy that can't be saved is in force nevertheless, and the failure
// is logged.
func TestPolicyErrorsNameFileAndKey(t *testing.T) {
	validText := policyText(1, `"riga"`, "serve")
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
		if !strings.Contains(validText, c.old) {
			t.Fatalf("%q is not in the text", c.old)
		}
		_, err := Parse("p.toml", strings.Replace(validText, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "p.toml") {
			t.Errorf("%q: %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Parse("p.toml", strings.Repeat("#", MaxText+1)); err == nil {
		t.Error("document above MaxText accepted")
	}
	var log bytes.Buffer
	failingSave := func(int64, []string) error { return errors.New("the disk is full") }
	h := NewHolder(zones, time.Second, true, slog.New(slog.NewTextHandler(&log, nil)), failingSave)
	if err := h.Apply(1, validText); err != nil || !strings.Contains(log.String(), "the disk is full") {
		t.Errorf("error %v, log %q; want no error, and the failed save in the log", err, log.String())
	}
	h.CountRefusal(h.RuleID("post", "update"), 2)
	h.CountRefusal(99, -1)
	if st := h.State(); st.Refusals[[2]string{"post", "liepaja"}] != 1 || st.Refusals[[2]string{"", "unknown"}] != 1 {
		t.Errorf("refusals %v, want one of post in liepaja, and one of no tenant in an unknown zone", st.Refusals)
	}
}

func BenchmarkPermits(b *testing.B) {
	h := NewHolder(zones, time.Second, true, discardLog, nil)
	if err := h.Apply(1, policyText(1, `"riga"`, "serve")); err != nil {
		b.Fatal(err)
	}
	rule := h.RuleID("post", "update")
	for b.Loop() {
		if !h.Table().Permits(rule, 1) || h.Table().Permits(rule, 2) {
			b.Fatal("wrong permission")
		}
	}
}
