package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"martenbeam/internal/lab"
)

var update = flag.Bool("update", false, "rewrite the files in testdata; refused if CI is set")

// golden fails the test if a text differs from a file in testdata. With -update it rewrites the file instead.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if os.Getenv("CI") != "" {
			t.Fatal("-update is refused if CI is set")
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// The complete help of each command is pinned: names of commands, flags and arguments, with their defaults.
func TestHelpOfEachCommandIsPinned(t *testing.T) {
	for _, command := range []string{"", "up", "lab", "lab list", "lab run", "lab compare", "lab trace", "agent", "hub",
		"config", "config check", "config print"} {
		var out, errs bytes.Buffer
		if code := run(append(strings.Fields(command), "--help"), &out, &errs); code != 0 || errs.Len() > 0 {
			t.Errorf("help of %q: exit %d, want 0 and nothing on stderr; stderr %s", command, code, errs.String())
		}
		golden(t, "help"+strings.ReplaceAll(" "+command, " ", "-")+".txt", out.Bytes())
	}
}

// The printed defaults and scenarios and the format of a comparison file are pinned.
func TestPrintedTextsArePinned(t *testing.T) {
	for _, command := range []string{"config print", "config print --hub", "lab list"} {
		var out, errs bytes.Buffer
		if code := run(strings.Fields(command), &out, &errs); code != 0 || errs.Len() > 0 {
			t.Errorf("%q: exit %d, want 0 and nothing on stderr; stderr %s", command, code, errs.String())
		}
		golden(t, "print-"+strings.ReplaceAll(strings.ReplaceAll(command, " --", "-"), " ", "-")+".txt", out.Bytes())
	}
	c := comparison{1, "calm", []lab.Pair{{Seed: 2}}, differencesJSON([]lab.Difference{
		{Measure: "m3", A: 4, B: 5, Mean: 6, Low: 7, High: 8, Each: []float64{9}, Verdict: "v10"},
		{Measure: "m11", A: 12, B: 13, Mean: 14, Low: math.Inf(-1), High: math.Inf(1), Each: []float64{15}, Verdict: "v16"}})}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "comparison.json", append(text, '\n'))
}
