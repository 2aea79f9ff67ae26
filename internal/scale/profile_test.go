package scale

// Attribution of a CPU profile to the parts of the product.

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/pprof/profile"
)

// profileRules attribute a sample to a part by substrings of the function names on its stack. The first rule that matches
// any function applies.
var profileRules = []struct {
	part  string
	match []string
}{
	{"harness", []string{"internal/scale."}},
	{"distances", []string{"internal/fleet/latency.", "fleet.(*Fleet).publishLatencies"}},
	{"list", []string{"internal/fleet.(*relay).ServeHTTP", "internal/agent/discovery.", "internal/fleet/startup.",
		"fleet.(*Fleet).Next", "fleet.(*Fleet).RecordUpdate"}},
	{"settings", []string{"internal/settings.", "hubclient.appliedSettings"}},
	{"hub stream", []string{"internal/fleet/hubclient.(*attachment)", "internal/fleet/hub/frame."}},
	{"policy", []string{"fleet.(*Fleet).shareDocuments", "internal/fleet/documents.", "internal/residency."}},
	{"facts", []string{"internal/fleet/gossip."}},
	{"parts", []string{"fleet.(*Fleet).recomputeQuota", "fleet.(*Fleet).detectDead", "fleet.(*Fleet).logSummary",
		"fleet.(*Fleet).runLoop", "internal/fleet/hubclient.(*Client).runLoop"}},
	{"members", []string{"hashicorp/memberlist", "internal/fleet/member."}},
	{"streams", []string{"net/http."}},
	{"collector", []string{"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge", "runtime.gcStart"}},
}

// partOf returns the part to which a stack, a list of function names, is attributed. A stack that no rule matches belongs
// to the Go runtime's scheduler and timers.
func partOf(stack []string) string {
	for _, r := range profileRules {
		for _, f := range stack {
			for _, match := range r.match {
				if strings.Contains(f, match) {
					return r.part
				}
			}
		}
	}
	return "runtime"
}

// cpuByPart returns the sampled processor time in a CPU profile by part.
func cpuByPart(data *bytes.Buffer) (map[string]time.Duration, error) {
	p, err := profile.Parse(data)
	if err != nil {
		return nil, err
	}
	parts := map[string]time.Duration{}
	for _, s := range p.Sample {
		var stack []string
		for _, l := range s.Location {
			for _, line := range l.Line {
				if line.Function != nil {
					stack = append(stack, line.Function.Name)
				}
			}
		}
		parts[partOf(stack)] += time.Duration(s.Value[len(s.Value)-1])
	}
	return parts, nil
}

// A stack is attributed to the part that initiated the work, not to the package at the top of the stack.
func TestStackIsAttributedToThePartThatInitiatedTheWork(t *testing.T) {
	const p = "martenbeam/internal/"
	for want, stack := range map[string][]string{
		"facts": {"github.com/fxamacker/cbor/v2.Marshal", p + "fleet/gossip.EncodeMessage", p + "fleet/gossip.(*Store).NextMessage",
			"github.com/hashicorp/memberlist.(*Memberlist).gossip"},
		"distances": {"runtime.mallocgc", p + "fleet/member.(*List).Alive", p + "fleet.(*Fleet).publishLatencies",
			p + "fleet.(*Fleet).runLoop"},
		"members": {"syscall.Syscall6", p + "fleet/member.(*transport).WriteTo",
			"github.com/hashicorp/memberlist.(*Memberlist).probe"},
		"policy":    {p + "fleet/gossip.(*Store).Entries", p + "fleet.(*Fleet).shareDocuments"},
		"list":      {"net/http.(*response).Write", p + "fleet.(*relay).ServeHTTP", "net/http.(*conn).serve"},
		"harness":   {"net/http.(*response).Write", p + "scale.(*fakeListService).ServeHTTP", "net/http.(*conn).serve"},
		"parts":     {p + "fleet/member.(*List).Alive", p + "fleet.(*Fleet).recomputeQuota", p + "fleet.(*Fleet).runLoop"},
		"collector": {"runtime.scanobject", "runtime.gcBgMarkWorker"},
		"runtime":   {"runtime.findRunnable", "runtime.schedule"},
	} {
		if got := partOf(stack); got != want {
			t.Errorf("stack %v: attributed to %s, want %s", stack, got, want)
		}
	}
}

// Every function and package of this module that a rule names exists. After a rename, a rule with the old name would match
// nothing.
func TestProfileRulesNameFunctionsThatExist(t *testing.T) {
	functions := moduleFunctions(t)
	if len(functions) < 100 {
		t.Fatalf("found %d functions, want at least 100", len(functions))
	}
	for _, rule := range profileRules {
		for _, pattern := range rule.match {
			if strings.HasPrefix(pattern, "net/http") || strings.HasPrefix(pattern, "runtime.") || pattern == "hashicorp/memberlist" {
				continue // outside this module
			}
			if !slices.ContainsFunc(functions, func(f string) bool { return strings.Contains(f, pattern) }) {
				t.Errorf("%s: no function matches %q", rule.part, pattern)
			}
		}
	}
}

// moduleFunctions returns the functions of the module's internal packages, named as on stacks.
func moduleFunctions(t *testing.T) (names []string) {
	t.Helper()
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder := "martenbeam/internal/" + strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok {
				continue
			}
			name := f.Name.Name
			if f.Recv != nil {
				receiver := types.ExprString(f.Recv.List[0].Type)
				if strings.HasPrefix(receiver, "*") {
					receiver = "(" + receiver + ")"
				}
				name = receiver + "." + name
			}
			names = append(names, folder+"."+name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
