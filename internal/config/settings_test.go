package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An error in settings is one line that names the document, the line and the key.
func TestSettingsErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "s.toml: version: 0 is below 1"},
		{"version = \"1\"", "s.toml:1: version: incompatible types"},
		{"version = 1\nlsits = \"asked\"", "s.toml:2: lsits: unknown key"},
		{"version = 1\nlists = \"told\"", "s.toml:2: lists: "},
		{"version = 1\n[attempts]\n\nmost = 21", "s.toml:4: attempts.most: 21 is not between"},
		{"version = 1\nattempts = {most = 21}", "s.toml:2: attempts.most: 21 is not between"},
		{"version = 1\nAttempts.Most = 21", "s.toml: attempts.most: 21 is not between"},
		{"version = 1" + strings.Replace(classText, "safe", "keyed", 1), "s.toml:2: class[0].window: is required for a keyed class"},
		{"version = 1" + strings.Replace(classText, "2s", "1ms", 1), "s.toml:6: class[0].deadline: aim 1s"},
		{"version = 1\n[[class]]\nname = \"x\"", "s.toml:2: class[0].effect: "},
		{"version = 1\nzone = \"a\"", "s.toml:2: zone: can't be set for all agents"},
		{"version = 1\nLISTEN = \"127.0.0.1:1\"", "s.toml: listen: can't be set for all"},
		{"version = 1\n[attempts]\nfrom = \"127.0.0.1\"", "s.toml:3: attempts.from: can't be set for all"},
		{"version = 1\n[settings]\nstate = \"x\"", "s.toml:2: settings: can't be set for all"},
		{"version = 1\nhalf", "s.toml:2: "},
		{"version = 1\n#" + strings.Repeat("x", MaxSettingsBytes), "s.toml: 65549 bytes"},
	} {
		_, err := ParseSettings("s.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.80q: %v, want %q", c.text, err, c.want)
		}
	}
	for _, k := range []string{"name", "listen", "mgmt", "seed", "zone", "zones", "peers", "fleet", "residency", "settings", "limits"} {
		_, err := ParseSettings("s.toml", "version = 1\n["+k+"]\n")
		if err == nil || !strings.Contains(err.Error(), "s.toml:2: "+k+": can't be set for") {
			t.Errorf("%s: error %v, want that the key can't be set for all agents", k, err)
		}
	}
}

// Settings override keys of the agent's file. Errors in keys that they do not set name the agent's file. Classes are replaced
// as a whole.
func TestSettingsOverlayTheAgentFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.toml")
	read := func(own, overlay string) (*Config, error) {
		if err := os.WriteFile(file, []byte(own), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ParseSettings("s.toml", overlay)
		if err != nil {
			t.Fatal(err)
		}
		return ReadWithSettings(file, s)
	}
	own := minimalText + strings.Replace(classText, "2s", "2s\"\ngroup = \"pod\"\nwindow = \"9s", 1) + "[attempts]\nmost = 4\nprobes = false\n"
	c, err := read(own, "version = 1\n[attempts]\nmost = 6\n"+classText)
	if err != nil || c.Attempts.Max != 6 || c.Attempts.HealthChecks || c.Discovery != "127.0.0.1:8500" || len(c.Classes) != 1 ||
		c.Classes[0].DedupWindow != 0 || c.Classes[0].Group != "" {
		t.Errorf("got %+v, error %v; want MaxAttempts and the class of the settings, and the other keys of the agent's file", c, err)
	}
	_, err = read(strings.Replace(own, "4", "40", 1), "version = 1\n[attempts]\nprobes = true\n")
	if err == nil || !strings.HasPrefix(err.Error(), file+":11: attempts.most: 40") {
		t.Error(err)
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add("version = 1\n[attempts]\nmost = 6\n" + classText)
	f.Add("version = 1\nprices = {cross_zone = 0.5}\nclass = []\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSettings("s.toml", text)
		if err != nil {
			return
		}
		c, err := parseWithSettings("x.toml", minimalText+classText, s)
		if err != nil || s.Version < 1 {
			t.Fatalf("settings accepted alone are rejected with an agent's file, or have no version: %v", err)
		}
		own, _ := Parse("x.toml", minimalText+classText)
		for _, k := range Diff(own, c) {
			for _, perAgent := range perAgentKeys {
				if k == perAgent.key || strings.HasPrefix(k, perAgent.key+".") {
					t.Errorf("%q sets %s", text, k)
				}
			}
		}
	})
}
