package scenario

// Reading of built-in scenarios and scenario files.

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"martenbeam/internal/strictconfig"
)

//go:embed builtin/*.toml
var builtin embed.FS

// Names returns the names of the built-in scenarios, sorted.
func Names() (names []string) {
	entries, err := builtin.ReadDir("builtin")
	if err != nil {
		panic(err) // the directory is embedded
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Read reads and checks a built-in scenario, given by name, or a file whose name ends in .toml. Default gives the values that
// the text leaves out. Errors in the text name file, line and key.
func Read(name string) (*Scenario, error) {
	file, text := name, []byte(nil)
	var err error
	if slices.Contains(Names(), name) {
		file = path.Join("builtin", name+".toml")
		text, err = builtin.ReadFile(file)
	} else if strings.HasSuffix(name, ".toml") {
		text, err = os.ReadFile(name)
	} else {
		return nil, fmt.Errorf("no scenario is called %q: use one of %s, or a .toml file", name, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return parse(file, string(text))
}

// parse reads and checks the text of a scenario.
func parse(file, text string) (*Scenario, error) {
	s := Default()
	if err := strictconfig.Decode(file, text, &s); err != nil {
		return nil, err
	}
	s.file, s.text = file, text
	if s.Name == "" {
		s.Name = strings.TrimSuffix(path.Base(file), ".toml")
	}
	return &s, s.Check()
}
