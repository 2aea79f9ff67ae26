package balancer_test

// A test of the source files: the deploy file lists the policy files, and they stay short.

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Files that make decisions are listed under policy in the deploy file, and each has 10 to 240 lines that are not blank:
// a longer file must be split by what it decides. Each other file contains the sentence "Nothing is decided
// here.", or is part of the package's interface.
func TestPolicyLimits(t *testing.T) {
	const maxLines, minLines, maxLength = 240, 10, 130
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, ok := strings.Cut(list, "]")
	if !ok {
		t.Fatal("the deploy file has no list of policy files")
	}
	policy := map[string]bool{}
	for name := range strings.SplitSeq(list, ",") {
		name, inModule := strings.CutPrefix(strings.Trim(name, ` "`), "balancer/")
		if !inModule {
			t.Errorf("%s is listed as policy but is outside the decision module", name)
			continue
		}
		policy[name] = true
		if lines := countLines(t, name, maxLength); lines < minLines || lines > maxLines {
			t.Errorf("%s: %d lines that are not blank, want 10 to %d", name, lines, maxLines)
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	interfaces := []string{"api.go", "settings.go", "message.go"}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		decides := !strings.HasSuffix(name, "_test.go") && !slices.Contains(interfaces, name) &&
			!strings.Contains(string(text), "Nothing is decided here.")
		if decides != policy[name] {
			t.Errorf("%s: makes decisions %v, listed as policy %v, want the same", name, decides, policy[name])
		}
	}
}

// countLines counts the lines that are not blank, and fails the test for lines that are too long.
func countLines(t *testing.T, name string, maxLength int) (lines int) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > maxLength {
			t.Errorf("%s: line %d has %d characters, want %d at most", name, i+1, n, maxLength)
		}
	}
	return lines
}
