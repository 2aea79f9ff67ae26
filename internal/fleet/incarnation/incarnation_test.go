package incarnation

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/versionedfile"
)

// Each number is above the stored one, whatever the clock shows. Without a stored number that can be read, or a
// directory that can be written to, it is the clock's reading.
func TestNextIsAboveStoredNumber(t *testing.T) {
	dir := t.TempDir()
	a := Allocator{Dir: dir, Name: "n/0"}
	ahead := bootclock.Wall().Add(time.Hour).UnixMilli() // as if the clock had been set back since the number was stored
	if err := versionedfile.SaveFunc(dir, "incarnation-n%2F0")(ahead, nil); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		if got := a.Next(); got != uint64(ahead)+uint64(i)+1 {
			t.Errorf("got %d, %d is stored", got, ahead)
		}
	}
	if got := (Allocator{Dir: dir, Name: "n1"}).Next(); got >= uint64(ahead) {
		t.Errorf("another name got %d, which follows the stored number of this one", got)
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
			t.Errorf("%s: %d at %d", name, got, now)
		}
	}
}
