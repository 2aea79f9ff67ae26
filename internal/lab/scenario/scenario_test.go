package scenario

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Every built-in scenario is valid and has a description.
func TestBuiltInScenariosAreValid(t *testing.T) {
	want := []string{"bad-fast", "burst", "calm", "herd", "join", "list-stale", "lossy", "neighbour", "one-way", "pause", "roll", "split", "zone-cut", "zone-loss"}
	for _, name := range want {
		if !slices.Contains(Names(), name) {
			t.Errorf("the built-in scenario %s is missing", name)
		}
	}
	for _, name := range Names() {
		if s, err := Read(name); err != nil || s.About == "" || s.Name != name {
			t.Errorf("%s: error %v, want a valid scenario with this name and a description", name, err)
		}
	}
	if _, err := Read("storm"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("error for an unknown scenario: %v, want the names of the known scenarios", err)
	}
}

// Each invalid value gives an error of one line with the file and the key, and with the line of the key if the text has it.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"for = 3", `x.toml:1: for: `},
		{"\n[fleet]\nagents = 0", "x.toml:3: fleet.agents: 0 is not between 1 and 2000"},
		{"\n[fleet]\nagnets = 3", "x.toml:3: fleet.agnets: unknown key"},
		{"[load]\nrate = -1.0", "x.toml:2: load.rate: "},
		{"[load]\nrate = \"fast\"", "x.toml:2: "},
		{"for = \"1s\"\nsettle = \"2s\"", "x.toml:2: settle: "},
		{"[world]\nramp_s = [9.0, 3.0]", "x.toml:2: world.ramp_s: "},
		{"[[fault]]\nat = \"1s\"\nwhat = \"flood\"", `x.toml:3: fault[0].what: "flood" is not one of link`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"list-away\"\n[[fault]]\nat = \"90s\"\nwhat = \"list-away\"", "x.toml:5: fault[1].at: 1m30s is not within"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"backends\"", `x.toml:4: fault[0].who: "backends" is not a set of agents`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents n=70\"", "x.toml:4: fault[0].who: number 70 does not exist: there are 24 agents, numbered from 0"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"zone-lost\"\nwho = \"zone zone=7\"", "x.toml:4: fault[0].who: zone 7 does not exist: there are 3 zones, numbered from 0"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents share=2\"", `x.toml:4: fault[0].who: "agents share=2": "2" is not a share`},
		{"[[fault]]\nat = \"1s\"\nwhat = \"link\"", "fault[0].from: a link requires from and to"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents\"\nto = \"backends\"\nlose = 1.5", "x.toml:6: fault[0].lose: 1.5"},
		{"[fleet]\nzone_size = [1, 2]", "x.toml:2: fleet.zone_size: 2 sizes for 3 zones"},
		{"= 4", "x.toml:1: "},
		{"[shared]\nhubs = 2", "x.toml:2: shared.hubs: 2 hubs: hubs require shared.on"},
		{"[shared]\non = true\nhubs = 4", "x.toml:3: shared.hubs: 4 hubs: hubs require shared.on, and there can be at most one per zone, with 3 zones"},
		{"[shared]\non = true\nsettings = \"version = 1\"", "x.toml:3: shared.settings: settings require hubs"},
		{"[shared]\non = true\nhubs = 2\nsources = 3\nsettings = \"version = 1\"", "shared.settings: settings require hubs, from 1 to 2 sources"},
		{"[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"hubs\"", `x.toml:4: fault[0].who: "hubs": there are no hubs`},
		{"[shared]\non = true\nhubs = 2\n[[fault]]\nat = \"1s\"\nwhat = \"stop\"\nwho = \"hubs n=2\"", "x.toml:7: fault[0].who: number 2 does not exist: there are 2 hubs, numbered from 0"},
		{"[shared]\non = true\nhubs = 2\n[[fault]]\nat = \"1s\"\nwhat = \"settings\"\nwho = \"hubs\"", `x.toml:7: fault[0].who: "hubs": a change of settings requires hubs as targets, and shared.settings`},
		{"[shared]\non = true\nhubs = 2\nsettings = \"version = 1\"\n[[fault]]\nat = \"1s\"\nwhat = \"settings\"\nwho = \"agents\"", `x.toml:8: fault[0].who: "agents": a change of settings requires hubs`},
		{"[shared]\non = true\nhubs = 2\n[[fault]]\nat = \"1s\"\nwhat = \"policy\"\nwho = \"agents\"", `x.toml:7: fault[0].who: "agents" is not a set of hubs`},
	} {
		_, err := parse("x.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) && !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// A scenario with another duration keeps the relative times of its faults.
func TestSetDurationScalesTheSchedule(t *testing.T) {
	s, err := Read("zone-loss")
	if err != nil {
		t.Fatal(err)
	}
	s.SetDuration(s.Duration.Duration() / 2)
	if f := s.Faults[0]; f.At.Duration() != 5*time.Second || f.Duration.Duration() != 3*time.Second || s.Check() != nil {
		t.Errorf("first fault %+v, want it at 5 s for 3 s in a valid scenario", f)
	}
}

// Every scenario is valid with hubs and without. In a scenario for a full mesh, link faults between zones of agents also apply
// to the hubs of these zones, and hubs replace agents as sources of a policy.
func TestScenariosRunWithAndWithoutHubs(t *testing.T) {
	for _, name := range Names() {
		for n := range 4 {
			s, err := Read(name)
			if err != nil {
				t.Fatal(err)
			}
			if ownHubs := s.Shared.Hubs; ownHubs > n && n > 0 {
				continue // the scenario names hubs that would not exist
			}
			s.SetHubs(n)
			if err := s.Check(); err != nil || s.Shared.Hubs != n {
				t.Errorf("%s with %d hubs: error %v, want a valid scenario with this number of hubs", name, n, err)
			}
		}
	}
	s, err := Read("residency-tighten")
	if err != nil {
		t.Fatal(err)
	}
	s.SetHubs(2)
	var links []string
	for _, f := range s.Faults {
		switch f.Kind {
		case Link:
			links = append(links, f.From+" > "+f.To)
		case Policy:
			if f.Targets != "hubs n=0" {
				t.Errorf("targets of the policy: %q, want hubs n=0", f.Targets)
			}
		}
	}
	want := []string{"agents zone=1 > agents zone=0,2", "hubs zone=1 > agents zone=0,2", "agents zone=1 > hubs zone=0,2", "hubs zone=1 > hubs zone=0,2"}
	if !slices.Equal(links, want) {
		t.Errorf("faults on links %q, want one for each pair of agents and hubs", links)
	}
	singleAgents, err := Read("matrix-liar")
	if err != nil {
		t.Fatal(err)
	}
	singleAgents.SetHubs(3)
	if n := len(singleAgents.Faults); n != 2 || singleAgents.Faults[1].From != "agents n=0,3" || singleAgents.Faults[1].To != "hubs" {
		t.Errorf("faults for single agents: %+v, want two, the second from agents n=0,3 to hubs", singleAgents.Faults)
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
		if err == nil && (s.Fleet.Agents < 1 || s.Duration <= 0) {
			t.Errorf("parse accepted %+v, want an error without agents or duration", s)
		}
	})
}
