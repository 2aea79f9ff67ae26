package handover

import (
	"testing"
	"time"
)

// Earlier versions of the program store only wall-clock times, and drop unknown keys. This version reads their records. Times
// that this version stores are not affected by later steps of the wall clock.
func TestRecordsOfAnEarlierVersionAreReadByTheWallClock(t *testing.T) {
	clocks := clockReading{boot: time.Hour, wall: time.UnixMilli(1e12)}
	unixMsBefore := func(ago time.Duration) int64 { return clocks.wall.Add(-ago).UnixMilli() }
	earlier := Record{Format: 1, Generation: 1, SavedUnixMs: unixMsBefore(time.Second),
		DisabledUnixMs: map[string]int64{"out": unixMsBefore(time.Minute)},
		EnabledUnixMs:  map[string]int64{"back": unixMsBefore(10 * time.Second)}}
	if _, stale := earlier.stale(clocks); stale {
		t.Error("record written a second ago is stale")
	}
	list := newOverrides(&Record{}, &earlier, clocks)
	disabled := Override{Backend: "out", Disabled: true, IssuedAt: time.Hour - time.Minute}
	enabled := Override{Backend: "back", IssuedAt: time.Hour - 10*time.Second}
	if len(list) != 2 || list[0] != disabled || list[1] != enabled {
		t.Errorf("overrides %+v, want the disabling of \"out\" and the enabling of \"back\"", list)
	}
	earlier.apply(Override{Backend: "out", IssuedAt: time.Hour}, clocks)
	if at := earlier.enabledAt("out", clocks); at != time.Hour || len(earlier.DisabledUnixMs) != 0 {
		t.Errorf("enabled again at %v, want 1h; disabled backends %v, want none", at, earlier.DisabledUnixMs)
	}
	for _, step := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		later := clockReading{boot: clocks.boot + time.Second, wall: clocks.wall.Add(step)}
		r := Record{Format: 1, Generation: 1, SavedUnixMs: unixMsBefore(0), SavedBootUs: clocks.boot.Microseconds()}
		r.apply(Override{Backend: "out", Disabled: true, IssuedAt: clocks.boot}, clocks)
		r.apply(Override{Backend: "out", IssuedAt: clocks.boot + time.Millisecond}, later)
		if _, stale := r.stale(later); stale || r.enabledAt("out", later) != clocks.boot+time.Millisecond {
			t.Errorf("after a wall clock step of %v: stale %v, want false; enabled at %v since boot, want 1h0m0.001s", step, stale, r.enabledAt("out", later))
		}
		if earlier.enabledAt("back", later) > later.boot {
			t.Errorf("after a wall clock step of %v: enabled at a time in the future", step)
		}
	}
}

// A record is stale once its last write is more than maxRecordAge ago, and after a reboot. The age is measured since
// boot, so steps of the wall clock do not affect it. The age of an earlier version's record is measured by the wall clock.
func TestRecordIsStaleAfterMaxAgeOrReboot(t *testing.T) {
	clocks := clockReading{boot: time.Hour, wall: time.UnixMilli(1e12)}
	at := func(boot time.Duration, wall time.Duration) Record {
		return Record{Generation: 1, SavedBootUs: boot.Microseconds(), SavedUnixMs: clocks.wall.Add(wall).UnixMilli()}
	}
	for name, c := range map[string]struct {
		record Record
		stale  bool
	}{
		"fresh":                         {at(time.Hour-time.Second, -time.Second), false},
		"at the bound":                  {at(time.Hour-maxRecordAge, -maxRecordAge), false},
		"past the bound":                {at(time.Hour-maxRecordAge-time.Second, -maxRecordAge-time.Second), true},
		"fresh, wall clock set forward": {at(time.Hour-time.Second, -time.Hour), false},
		"past the bound, wall set back": {at(time.Hour-maxRecordAge-time.Second, time.Hour), true},
		"before a reboot":               {at(2*time.Hour, -time.Second), true},
		"earlier version, fresh":        {at(0, -time.Second), false},
		"earlier version, an hour old":  {at(0, -time.Hour), true},
		"empty":                         {Record{}, false},
	} {
		if _, stale := c.record.stale(clocks); stale != c.stale {
			t.Errorf("%s: stale returned %v, want the other value", name, stale)
		}
	}
}

// An override that is recorded late does not undo one that was issued after it.
func TestLateOverrideDoesNotUndoANewerOne(t *testing.T) {
	clocks := clockReading{boot: time.Hour, wall: time.UnixMilli(1e12)}
	var r Record
	r.apply(Override{Backend: "s", Disabled: true, IssuedAt: 10 * time.Second}, clocks)
	r.apply(Override{Backend: "s", IssuedAt: 20 * time.Second}, clocks)
	r.apply(Override{Backend: "s", Disabled: true, IssuedAt: 15 * time.Second}, clocks)
	if len(r.DisabledUnixMs) != 0 {
		t.Errorf("backend disabled by an override that is older than the enabling: %+v", r)
	}
	r.apply(Override{Disabled: true, IssuedAt: 20 * time.Second}, clocks)
	r.apply(Override{IssuedAt: 10 * time.Second}, clocks)
	if !r.LameDuck {
		t.Error("lame duck state ended by an override that is older")
	}
}
