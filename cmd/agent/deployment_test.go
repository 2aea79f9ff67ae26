package main

// No deployment is named in the code.

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

// namesFoundIn returns the names that occur in a text as whole words.
func namesFoundIn(text string, names []string) (found []string) {
	for _, name := range names {
		if regexp.MustCompile(`(?i)(^|[^\w-])` + regexp.QuoteMeta(name) + `($|[^\w-])`).MatchString(text) {
			found = append(found, name)
		}
	}
	return found
}

// No code of the agent or the adapter, nor the deploy file, contains a name of a deployment.
func TestCodeNamesNoDeployment(t *testing.T) {
	sites, err := filepath.Glob("../../deploy/sites/*/*.toml")
	if err != nil || len(sites) < 2 {
		t.Fatalf("%d sites, %v", len(sites), err)
	}
	var names []string
	for _, path := range sites {
		names = append(names, deploymentNames(t, path)...)
	}
	if len(names) < 20 || len(namesFoundIn(`case "`+names[0]+`":`, names)) != 1 {
		t.Fatalf("%d names, of which the first is not found where it stands", len(names))
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
		t.Fatalf("only %d files", len(files))
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if found := namesFoundIn(string(text), names); len(found) > 0 {
			t.Errorf("%s knows %v", path, found)
		}
	}
}
