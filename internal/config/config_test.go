package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"martenbeam/internal/agent"
)

// classText is a minimal class; minimalText followed by classText is a minimal valid file.
const classText = `
[[class]]
name = "get"
effect = "safe"
aim = "1s"
deadline = "2s"
`

const minimalText = "discovery = \"127.0.0.1:8500\"\n"

// An error is one line that names file, line and key.
func TestConfigErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{classText, "x.toml: discovery: is required"},
		{minimalText, "x.toml: class: at least one [[class]]"},
		{minimalText + "lsiten = \"127.0.0.1:1\"" + classText, "x.toml:2: lsiten: unknown key"},
		{minimalText + "listen = 3" + classText, "x.toml:2: listen: incompatible types"},
		{minimalText + "listen = \"localhost:1\"" + classText, `x.toml:2: listen: "localhost:1" is not an IP address and port`},
		{minimalText + "seed = \"xyz\"" + classText, "x.toml:2: seed: "},
		{minimalText + "zone = \"b\"" + classText, `x.toml:2: zone: "b" is not one of the zones`},
		{minimalText + "[limits]\nsockets = 3" + classText, "x.toml:3: limits.sockets: 3 is not between 32 and 1.048576e+06"},
		{minimalText + "[attempts]\nconnect_timeout = \"soon\"" + classText, "x.toml:3: "},
		{minimalText + "[attempts]\nconnect_timeout = \"0s\"" + classText, "x.toml:3: attempts.connect_timeout: 0s is not between 1ms and 24h"},
		{minimalText + "[peers]\naddresses = [\"127.0.0.1:1\"]" + classText, "x.toml: peers.listen: is required"},
		{minimalText + classText + "effect2 = 1", "x.toml:8: class.effect2: unknown key"},
		{minimalText + strings.Replace(classText, "safe", "keyed", 1), "x.toml: class[0].window: is required for a keyed class"},
		{minimalText + strings.Replace(classText, "2s", "1ms", 1), "x.toml:7: class[0].deadline: aim 1s and deadline 1ms"},
		{minimalText + "zones = [1]" + classText, `x.toml:2: zones: `},
		{minimalText + "zones = \"a\"" + classText, `x.toml:2: zones: `},
		{minimalText + "zone = \"a\"\n[zones]\na = \"north\"\nb = 3" + classText, `x.toml:5: zones.b: `},
		{minimalText + "zone = \"c\"\n[zones]\na = \"north\"\nb = \"south\"" + classText, `x.toml:2: zone: "c" is not one of the zones`},
		{minimalText + "name = \"a\nb\"" + classText, "x.toml:2: "},
		{minimalText + classText + "[fleet]\nlisten = \"127.0.0.1:1\"\n[fleet.hubs]\na = \"127.0.0.1:2\"\nb = \"127.0.0.1:3\"", `x.toml:12: fleet.hubs.b: "b" is not one of the zones`},
		{minimalText + classText + "[fleet]\nlisten = \"127.0.0.1:1\"\n[fleet.hubs]\na = \"here\"", `x.toml:11: fleet.hubs.a: "here" is not an IP address and port`},
		{minimalText + classText + "[fleet]\nlisten = \"127.0.0.1:1\"\nlabel = \"\"\n[fleet.hubs]\na = \"127.0.0.1:2\"", "x.toml:10: fleet.label: is required with hubs"},
		{minimalText + classText + "[fleet.hubs]\na = \"127.0.0.1:2\"", "x.toml: fleet.listen: is required with hubs"},
		{minimalText + classText + "[settings]\nstate = \"s\"", "x.toml:9: settings.state: is set, but there are no hubs"},
	} {
		_, err := Parse("x.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// The agent loads a configuration that Parse accepts.
func TestAgentLoadsAnAcceptedConfig(t *testing.T) {
	c, err := Parse("x.toml", minimalText+classText+"[peers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"+
		"self = 1\nlisten = \"127.0.0.1:3\"\n")
	if err != nil {
		t.Fatal(err)
	}
	source := agent.Source{Name: "x.toml", Read: c.Platform, Getenv: func(string) string { return "" }}
	a, err := source.Load()
	if err != nil {
		t.Fatal(err)
	}
	if a.Settings.Self != 1 || a.Settings.Balancers != 2 || len(a.Settings.Classes) != 1 || a.Settings.MaxAttempts != 5 || a.MemoryMB != 128 {
		t.Errorf("got %+v, want Self 1, Balancers 2, one class, MaxAttempts 5, and MemoryMB 128", a)
	}
}

// Zones may be mapped to regions, which the agent receives as numbers.
func TestZonesMapToRegionIDs(t *testing.T) {
	text := minimalText + "zone = \"riga-b\"\n" + classText + "[prices]\ncross_region = 0.1\n" +
		"[zones]\nriga-b = \"riga\"\nliepaja = \"kurzeme\"\nriga-a = \"riga\"\n"
	c, err := Parse("x.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	source := agent.Source{Name: "x.toml", Read: c.Platform, Getenv: func(string) string { return "" }}
	a, err := source.Load()
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(a.Site.Zones, a.Settings.Regions, a.Settings.Zone, a.Settings.CrossRegionCost)
	if got != "[liepaja riga-a riga-b] [0 1 1] 2 0.1" {
		t.Error(got)
	}
}

// Every key of Config is in the defaults, with a comment.
func TestEveryKeyHasADocumentedDefault(t *testing.T) {
	var keys func(reflect.Type, string) []string
	keys = func(typ reflect.Type, table string) (list []string) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			if f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[Zones]() {
				name := table + f.Tag.Get("toml")
				list = append(list, "["+name+"]")
				list = append(list, keys(f.Type, name+".")...)
			} else if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
				for _, k := range keys(f.Type.Elem(), table) {
					list = append(list, "# "+k)
				}
			} else if name := f.Tag.Get("toml"); name != "" {
				list = append(list, name+" =")
			}
		}
		return list
	}
	lines := strings.Split(Default, "\n")
	for _, k := range keys(reflect.TypeFor[Config](), "") {
		i := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, k) })
		if i < 0 {
			t.Errorf("no line begins with %q", k)
		} else if commented := fmt.Sprint(lines[max(0, i-8) : i+1]); !strings.Contains(commented, "#") && !strings.HasPrefix(k, "[") {
			t.Errorf("%q has no comment", k)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(minimalText + classText)
	f.Add(Default)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("x.toml", text)
		if err != nil {
			return
		}
		if _, err := c.Platform(); err != nil {
			t.Errorf("Parse accepts the text, but Platform fails: %v", err)
		}
	})
}
