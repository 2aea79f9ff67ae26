package bootclock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// wallClockFiles are the files that may use the wall clock's time, each with its reason.
var wallClockFiles = map[string]string{
	"internal/bootclock/bootclock.go":           "implements Wall",
	"internal/agent/discovery/starttime.go":     "discovery sends start times as Unix times; each is converted with several clocks, and is never in the future",
	"internal/agent/handover/record.go":         "earlier versions read and write Unix times, which are used only if a record has no times since boot",
	"internal/fleet/incarnation/incarnation.go": "Unix times order processes of one name across reboots and versions; a stored number covers clocks set back",
	"internal/fleet/hubclient/listener.go":      "sets a deadline in 1970 to interrupt a blocked call; does not read the clock",
	"internal/fleet/hubclient/attachment.go":    "sets a deadline in 1970 to interrupt blocked calls; does not read the clock",
}

// wallClockFuncs are the functions and methods that read the wall clock's time, or construct a time from it.
var wallClockFuncs = map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true, "Round": true,
	"Date": true, "Clock": true, "Format": true, "AppendFormat": true,
	"Parse": true, "ParseTime": true, "ParseInLocation": true, "Wall": true, "UTC": true}

// Only the listed files use the wall clock, because it may be stepped at any time.
func TestOnlyListedFilesUseTheWallClock(t *testing.T) {
	found := map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		name := filepath.ToSlash(strings.TrimPrefix(path, "../../"))
		switch {
		case err != nil:
			return err
		case d.IsDir() && (name == "internal/lab" || name == "internal/scale" || name == ".git"): // simulations: not part of an agent or a hub
			return fs.SkipDir
		case !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		calls, err := wallClockCalls(path)
		for _, call := range calls {
			found[name] = true
			if wallClockFiles[name] == "" {
				t.Errorf("%s: %s uses the wall clock, which may be stepped", name, call)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for name := range wallClockFiles {
		if !found[name] {
			t.Errorf("%s no longer uses the wall clock: remove it from wallClockFiles", name)
		}
	}
}

// wallClockCalls returns the names of the wall clock functions that a file calls.
func wallClockCalls(path string) (calls []string, err error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	if !imports(file, "time") && !imports(file, "martenbeam/internal/bootclock") {
		return nil, nil
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && wallClockFuncs[s.Sel.Name] && !inUnrelatedPackage(s) && !roundsDuration(s, call) {
			calls = append(calls, s.Sel.Name)
		}
		return true
	})
	return calls, nil
}

func imports(file *ast.File, path string) bool {
	for _, i := range file.Imports {
		if i.Path.Value == `"`+path+`"` {
			return true
		}
	}
	return false
}

// inUnrelatedPackage reports whether a function belongs to a package that is unrelated to time.
func inUnrelatedPackage(s *ast.SelectorExpr) bool {
	pkg, ok := s.X.(*ast.Ident)
	return ok && slices.Contains([]string{"math", "json", "strconv", "url", "kong", "uuid", "netip", "atomic"}, pkg.Name)
}

// roundsDuration reports whether a call rounds a duration. The call Round(0) is made on a time.Time, to remove the monotonic
// reading; any other Round is made on a duration.
func roundsDuration(s *ast.SelectorExpr, call *ast.CallExpr) bool {
	literal, ok := firstArg(call).(*ast.BasicLit)
	return s.Sel.Name == "Round" && !(ok && literal.Value == "0")
}

// SinceBoot advances as fast as the monotonic clock.
func TestSinceBootAdvancesWithTheMonotonicClock(t *testing.T) {
	before, start := SinceBoot(), time.Now()
	time.Sleep(time.Millisecond)
	elapsed, upperBound := SinceBoot()-before, time.Since(start)
	if elapsed < time.Millisecond || elapsed > upperBound+time.Millisecond {
		t.Errorf("SinceBoot advanced by %v, want 1ms to %v plus 1ms", elapsed, upperBound)
	}
}

func firstArg(call *ast.CallExpr) ast.Expr {
	if len(call.Args) == 0 {
		return nil
	}
	return call.Args[0]
}
