package main

// The check that the code contains no names of a deployment.

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// deploymentNames returns the names in a site file: of the site, its classes, tenants, zones, tiers and machine kinds.
func deploymentNames(t *testing.T, path string) (names []string) {
	t.Helper()
	type named struct{ Name string }
	var site struct {
		Name   string
		Net    struct{ Zones []string }
		Class  []named
		Tenant []named
		Tier   []struct {
			Name string
			Kind []named
		}
	}
	if _, err := toml.DecodeFile(path, &site); err != nil {
		t.Fatal(err)
	}
	names = append(site.Net.Zones, site.Name)
	for _, x := range append(site.Class, site.Tenant...) {
		names = append(names, x.Name)
	}
	for _, tier := range site.Tier {
		names = append(names, tier.Name)
		for _, x := range tier.Kind {
			names = append(names, x.Name)
		}
	}
	return names
}

// findNames returns the names that occur in a text as whole words, in any case.
func findNames(text string, names []string) (found []string) {
	for _, name := range names {
		if regexp.MustCompile(`(?i)(^|[^\w-])` + regexp.QuoteMeta(name) + `($|[^\w-])`).MatchString(text) {
			found = append(found, name)
		}
	}
	return found
}

// Neither the code of the agent and the adapter nor deploy/balancer.toml contains a name of a deployment.
func TestCodeNamesNoDeployment(t *testing.T) {
	sites, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(sites) < 2 {
		t.Fatalf("%d site files, want at least 2; %v", len(sites), err)
	}
	var names []string
	for _, path := range sites {
		names = append(names, deploymentNames(t, path)...)
	}
	if len(names) < 20 || len(findNames(`case "`+names[0]+`":`, names)) != 1 {
		t.Fatalf("%d names, want at least 20, and the first one must be found in a text that contains it", len(names))
	}
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if .Module}}{{if .Module.Main}}{{.Dir}}{{end}}{{end}}", ".",
		"../adapter").Output()
	if err != nil {
		t.Fatal(err)
	}
	files := []string{"../../deploy/balancer.toml"}
	for _, dir := range strings.Fields(string(out)) {
		list, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, list...)
	}
	if len(files) < 40 {
		t.Fatalf("%d files, want at least 40", len(files))
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if found := findNames(string(text), names); len(found) > 0 {
			t.Errorf("%s contains the deployment names %v", path, found)
		}
	}
}
