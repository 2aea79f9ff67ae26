package incarnation

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/versionedfile"
)

// Each number is above the stored one, regardless of the clock. If the stored number cannot be read or the directory cannot
// be written to, the number is the clock's reading.
func TestNextIsAboveStoredNumber(t *testing.T) {
	dir := t.TempDir()
	a := Allocator{Dir: dir, Name: "n/0"}
	ahead := bootclock.Wall().Add(time.Hour).UnixMilli() // as if the clock had been set back since the number was stored
	if err := versionedfile.SaveFunc(dir, "incarnation-n%2F0")(ahead, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if got := a.Next(); got != uint64(ahead)+uint64(i)+1 {
			t.Errorf("got %d after the stored number %d, want %d", got, ahead, uint64(ahead)+uint64(i)+1)
		}
	}
	if got := (Allocator{Dir: dir, Name: "n1"}).Next(); got >= uint64(ahead) {
		t.Errorf("another name got %d, which was derived from the number stored for this name", got)
	}
	torn := filepath.Join(dir, "incarnation-n2")
	if err := os.WriteFile(torn, []byte(`{"format":1,"ver`), 0o600); err != nil {
		t.Fatal(err)
	}
	now := uint64(bootclock.Wall().UnixMilli())
	for name, a := range map[string]Allocator{
		"torn file":          {Dir: dir, Name: "n2"},
		"no directory":       {Name: "n3"},
		"unusable directory": {Dir: torn, Name: "n4"},
	} {
		if got := a.Next(); got < now || got > now+uint64(time.Minute.Milliseconds()) {
			t.Errorf("%s: got %d at wall clock %d ms, want the clock's reading", name, got, now)
		}
	}
}
