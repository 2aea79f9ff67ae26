// Package incarnation numbers the processes of one name, so that a later one counts as the later, also where its machine's
// clock was set back between them. A number is the wall clock's reading, and above the one before, which is kept in a folder:
// so numbers rise over a restart of the machine, and beside those of versions that took the clock's reading alone.
package incarnation

import (
	"cmp"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"sync"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/versionedfile"
)

// Dir is where numbers are kept: the first of some folders that is given, else one beside the system's temporary files,
// which a fleet's processes on a machine share.
func Dir(label string, candidates ...string) string {
	return cmp.Or(cmp.Or(candidates...), filepath.Join(os.TempDir(), "martenbeam-"+url.PathEscape(label)))
}

// Allocator numbers the processes of a name.
type Allocator struct {
	Dir  string // where the latest number is kept; "": nowhere
	Name string
	Log  *slog.Logger // nil: nothing is logged
}

var mu sync.Mutex // at a time in this process

// Next is the number of a process, or of one of its parts, that starts now. Without a folder, or where that can't be used, it
// is as late as the clock says.
func (a Allocator) Next() uint64 {
	now := bootclock.Wall().UnixMilli()
	if a.Dir == "" {
		return uint64(now)
	}
	mu.Lock()
	defer mu.Unlock()
	file := "incarnation-" + url.PathEscape(a.Name)
	previous, _, err := versionedfile.Load(a.Dir, file)
	next := max(now, previous+1)
	if err == nil {
		err = versionedfile.SaveFunc(a.Dir, file)(next, nil)
	}
	if err != nil && a.Log != nil {
		a.Log.Warn("processes of this name are told apart by the clock alone", "error", err)
	}
	return uint64(next)
}
