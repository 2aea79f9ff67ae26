// Package incarnation numbers the processes that run under one name, so that a later process has a higher number than an
// earlier one, even if the machine's clock was set back between them. A number is the wall clock's reading in milliseconds,
// or the previous number plus one, whichever is higher. The previous number is stored in a directory, which survives a
// restart of the machine. The numbers are comparable with numbers from program versions that used the clock's reading alone.
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

// Dir returns the directory for stored numbers: the first of candidates that is not empty, otherwise a directory under the
// system's temporary directory, named after the label, which the processes of a fleet on one machine share.
func Dir(label string, candidates ...string) string {
	return cmp.Or(cmp.Or(candidates...), filepath.Join(os.TempDir(), "martenbeam-"+url.PathEscape(label)))
}

// Allocator allocates the incarnations of a name. Its methods may be called from any goroutine. Processes that run at
// the same time under one name and directory may be given the same number.
type Allocator struct {
	Dir  string // stores the latest number; "": numbers are not stored
	Name string
	Log  *slog.Logger // nil: failures are not logged
}

// mu serializes the allocators of this process.
var mu sync.Mutex

// Next returns the number of a process, or of one of its parts, that starts now, and stores the number. Without a directory,
// or if the stored number cannot be read, the number is the clock's reading. A failure to read or store is logged.
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
		a.Log.Warn("incarnation not stored, using wall clock", "error", err)
	}
	return uint64(next)
}
