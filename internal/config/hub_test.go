package config

import (
	"strings"
	"testing"
)

// What is wrong with a hub's file is told in one line that names file, line and key; the defaults and what is needed are taken.
func TestHubErrors(t *testing.T) {
	const good = "name = \"h\"\nlisten = \"127.0.0.1:1\"\n"
	for _, c := range []struct{ text, want string }{
		{"", "x.toml: listen: is needed"},
		{"listen = \"127.0.0.1:1\"", "x.toml: name: "},
		{good + "lable = \"x\"", "x.toml:3: lable: unknown key"},
		{good + "zone = \"b\"", `x.toml:3: zone: "b" is none of zones`},
		{good + "zones = 3", "x.toml:3: zones: "},
		{good + "label = \"\"", "x.toml:3: label: 0 bytes"},
		{good + "seeds = [\"here\"]", `x.toml:3: seeds: "here" is no IP address and port`},
		{good + "discovery = \"here\"", `x.toml:3: discovery: `},
		{good + "most = 0", "x.toml:3: most: 0 is not between"},
		{good + "list_rate = 0.1", "x.toml:3: list_rate: "},
		{good + "admit_rate = 0.5", "x.toml:3: admit_rate: "},
		{good + "[residency]\nbound = \"1ms\"", "x.toml:4: residency.bound: "},
		{good + "[residency]\nfile = \"/nowhere\"", "open /nowhere"},
		{good + "[settings]\nfile = \"/nowhere\"", "open /nowhere"},
		{good + "[max_age]\ncensus = \"2h\"", "x.toml:4: max_age.census: 2h0m0s is not between"},
		{good + "[max_age]\nmood = \"1s\"", "x.toml:3: max_age: there are"},
	} {
		if _, err := ParseHub("x.toml", c.text); err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	h, err := ParseHub("x.toml", good+"zone = \"b\"\n[zones]\nb = \"north\"\n[max_age]\ncensus = \"2s\"\n")
	if err != nil || h.AdmitRate != 200 || !h.Matrix || h.MaxAge["census"].D().Seconds() != 2 || h.MaxAge["service"].D().Seconds() != 5 {
		t.Errorf("%+v, %v", h, err)
	}
}
