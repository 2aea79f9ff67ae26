package agent

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestLogAttributesAreDocumented: docs/logs.md lists exactly the attributes that log lines have.
func TestLogAttributesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	used := map[string]bool{"agent": true} // set on the logger itself
	var files []string
	for _, pattern := range []string{"*.go", "*/*.go", "../fleet/*.go", "../fleet/*/*.go", "../residency/*.go",
		"../settings/*.go", "../membership/*.go", "../logging/*.go"} {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			t.Fatal(found, err)
		}
		files = append(files, found...)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			sel, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name) || !isLog(sel.X) {
				return true
			}
			for i := 1; i < len(call.Args); i += 2 {
				if lit, ok := call.Args[i].(*ast.BasicLit); ok {
					key, err := strconv.Unquote(lit.Value)
					if err != nil {
						t.Fatal(err)
					}
					used[key] = true
				}
			}
			return true
		})
	}
	listed := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if cell, _, ok := strings.Cut(strings.TrimPrefix(line, "| "), " |"); ok && strings.HasPrefix(cell, "`") {
			for name := range strings.SplitSeq(cell, ", ") {
				listed[strings.Trim(name, "`")] = true
			}
		}
	}
	for key := range used {
		if !listed[key] {
			t.Errorf("attribute %q is logged but not listed in docs/logs.md", key)
		}
	}
	for key := range listed {
		if !used[key] {
			t.Errorf("attribute %q is listed in docs/logs.md but never logged", key)
		}
	}
	if len(used) < 20 {
		t.Errorf("found only %d attributes, want at least 20: the search may be wrong", len(used))
	}
}

// isLog reports whether an expression is a logger. The name of each logger ends in log.
func isLog(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return strings.HasSuffix(strings.ToLower(x.Name), "log")
	case *ast.SelectorExpr:
		return strings.HasSuffix(strings.ToLower(x.Sel.Name), "log")
	}
	return false
}
