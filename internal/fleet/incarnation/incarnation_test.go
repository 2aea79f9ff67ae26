package incarnation

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/versionedfile"
)

// Each number is above the one before, whatever the clock shows; what was kept and can't be read, or a folder that can't be
// written to, leaves the clock's.
func TestNextIsAboveStoredNumber(t *testing.T) {
	dir := t.TempDir()
	s := Allocator{Dir: dir, Name: "n/0"}
	ahead := bootclock.Wall().Add(time.Hour).UnixMilli() // as if the clock had been set back since
	if err := versionedfile.SaveFunc(dir, "incarnation-n%2F0")(ahead, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if got := s.Next(); got != uint64(ahead)+uint64(i)+1 {
			t.Errorf("%d after %d", got, ahead)
		}
	}
	if got := (Allocator{Dir: dir, Name: "n1"}).Next(); got >= uint64(ahead) {
		t.Errorf("another name's: %d", got)
	}
	torn := filepath.Join(dir, "incarnation-n2")
	if err := os.WriteFile(torn, []byte(`{"format":1,"ver`), 0o600); err != nil {
		t.Fatal(err)
	}
	now := uint64(bootclock.Wall().UnixMilli())
	for name, s := range map[string]Allocator{"torn": {Dir: dir, Name: "n2"}, "no folder": {Name: "n3"}, "no folder to be had": {Dir: torn, Name: "n4"}} {
		if got := s.Next(); got < now || got > now+uint64(time.Minute.Milliseconds()) {
			t.Errorf("%s: %d at %d", name, got, now)
		}
	}
}
