package config

import (
	"strings"
	"testing"
)

// An error in a hub's file is one line that names file, line and key. Keys that the file omits have their defaults.
func TestHubErrorsNameFileLineAndKey(t *testing.T) {
	const minimal = "name = \"h\"\nlisten = \"127.0.0.1:1\"\n"
	for _, c := range []struct{ text, want string }{
		{"", "x.toml: listen: is required"},
		{"listen = \"127.0.0.1:1\"", "x.toml: name: "},
		{minimal + "lable = \"x\"", "x.toml:3: lable: unknown key"},
		{minimal + "zone = \"b\"", `x.toml:3: zone: "b" is not one of the zones`},
		{minimal + "zones = 3", "x.toml:3: zones: "},
		{minimal + "label = \"\"", "x.toml:3: label: 0 bytes"},
		{minimal + "seeds = [\"here\"]", `x.toml:3: seeds: "here" is not an IP address and port`},
		{minimal + "discovery = \"here\"", `x.toml:3: discovery: `},
		{minimal + "most = 0", "x.toml:3: most: 0 is not between"},
		{minimal + "list_rate = 0.1", "x.toml:3: list_rate: "},
		{minimal + "admit_rate = 0.5", "x.toml:3: admit_rate: "},
		{minimal + "[residency]\nbound = \"1ms\"", "x.toml:4: residency.bound: "},
		{minimal + "[residency]\nfile = \"/nowhere\"", "open /nowhere"},
		{minimal + "[settings]\nfile = \"/nowhere\"", "open /nowhere"},
		{minimal + "[max_age]\ncensus = \"2h\"", "x.toml:4: max_age.census: 2h0m0s is not between"},
		{minimal + "[max_age]\nmood = \"1s\"", "x.toml:3: max_age: the only keys are"},
	} {
		if _, err := ParseHub("x.toml", c.text); err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	h, err := ParseHub("x.toml", minimal+"zone = \"b\"\n[zones]\nb = \"north\"\n[max_age]\ncensus = \"2s\"\n")
	if err != nil || h.AdmitRate != 200 || !h.Matrix ||
		h.MaxAge["census"].Duration().Seconds() != 2 || h.MaxAge["service"].Duration().Seconds() != 5 {
		t.Errorf("got %+v, error %v; want AdmitRate 200, Matrix true, and max_age 2s for census and 5s for service", h, err)
	}
}
