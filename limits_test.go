package brookferry_test

import (
	"os"
	"strings"
	"testing"
)

// The operators run no module whose policy files hold more than 1,200 lines together.
func TestPolicyLimits(t *testing.T) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, ok := strings.Cut(list, "]")
	if !ok {
		t.Fatal("the deploy file names no policy files")
	}
	lines := 0
	for name := range strings.SplitSeq(list, ",") {
		lines += countLines(t, strings.Trim(name, ` "`), 130)
	}
	if lines < 100 || lines > 1200 {
		t.Errorf("%d lines that are not blank, 1,200 at most", lines)
	}
}

// countLines counts the lines that are not blank, and fails lines that are too long.
func countLines(t *testing.T, name string, longest int) (lines int) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > longest {
			t.Errorf("%s: line %d has %d characters, %d at most", name, i+1, n, longest)
		}
	}
	return lines
}
