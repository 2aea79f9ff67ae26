package scenario

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Every built-in scenario can be played, and says what it is about.
func TestBuiltIn(t *testing.T) {
	want := []string{"bad-fast", "burst", "calm", "herd", "join", "list-stale", "lossy", "neighbour", "one-way", "pause", "roll", "split", "zone-cut", "zone-loss"}
	for _, name := range want {
		if !slices.Contains(Names(), name) {
			t.Errorf("%s is missing", name)
		}
	}
	for _, name := range Names() {
		if s, err := Read(name); err != nil || s.About == "" || s.Name != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Read("storm"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("an unknown one: %v", err)
	}
}

// What can't be played is told in one line, with its place.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"for = 3", `x.toml:1: for: `},
		{"\n[fleet]\nagents = 0", "x.toml:3: fleet.agents: 0 is not between 1 and 2000"},
		{"\n[fleet]\nagnets = 3", "x.toml:3: fleet.agnets: unknown key"},
		{"[load]\nrate = -1.0", "x.toml:2: load.rate: "},
		{"[load]\nrate = \"fast\"", "x.toml:2: "},
		{"for = \"1s\"\nsettle = \"2s\"", "x.toml:2: settle: "},
		{"[world]\nramp_s = [9.0, 3.0]", "x.toml:2: world.ramp_s: "},
		{"[[fault]]\nat = \"1s\"\nwhat = \"flood\"", `x.toml:3: fault[0].what: "flood" is none of link`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"list-away\"\n[[fault]]\nat = \"90s\"\nwhat = \"list-away\"", "x.toml:5: fault[1].at: 1m30s is not within"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"backends\"", `x.toml:4: fault[0].who: "backends" is no set of agents`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents n=70\"", "x.toml:4: fault[0].who: number 70 of 24 agents"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"zone-lost\"\nwho = \"zone zone=7\"", "x.toml:4: fault[0].who: zone 7 of 3"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents share=2\"", `x.toml:4: fault[0].who: "agents share=2": "2" is not a share`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"link\"", "fault[0].from: a link has from and to"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents\"\nto = \"backends\"\nlose = 1.5", "x.toml:6: fault[0].lose: 1.5"},
		{"[fleet]\nzone_size = [1, 2]", "x.toml:2: fleet.zone_size: 2 sizes for 3 zones"},
		{"= 4", "x.toml:1: "},
	} {
		_, err := parse("x.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) && !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// A stretched scenario keeps its faults where they were in it.
func TestStretch(t *testing.T) {
	s, err := Read("zone-loss")
	if err != nil {
		t.Fatal(err)
	}
	s.Stretch(s.For.D() / 2)
	if f := s.Faults[0]; f.At.D() != 5*time.Second || f.For.D() != 3*time.Second || s.Check() != nil {
		t.Errorf("%+v", f)
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range Names() {
		text, err := builtin.ReadFile("builtin/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parse("x.toml", text)
		if err == nil && (s.Fleet.Agents < 1 || s.For <= 0) {
			t.Errorf("took %+v", s)
		}
	})
}
