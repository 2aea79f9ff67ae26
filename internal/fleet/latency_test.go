package fleet

// This file tests the matrix that a fleet keeps.

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// The matrix is kept until the content of a row changes or a row expires. Each round that keeps the matrix traces the use of
// its rows, within their age bound.
func TestMatrixIsRebuiltOnlyOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var trace bytes.Buffer
		f, err := New(Config{Name: "x", Site: "a", MaxMembers: 1, Listen: "127.0.0.1:0", MeasureLatency: true, Trace: &trace,
			Log: slog.New(slog.DiscardHandler)}, zones, Callbacks{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.members.Abort() }()
		row := func(us int) []byte {
			type entry struct {
				Site   string `cbor:"1,keyasint"`
				Micros int    `cbor:"2,keyasint"`
				Count  int    `cbor:"5,keyasint"`
			}
			body, _ := cbor.Marshal(map[int][]entry{1: {{"b", us, 3}}})
			return body
		}
		for i, step := range []struct{ us, wantBuilds, wantPairs int }{{100, 1, 1}, {100, 1, 1}, {200, 2, 1}, {0, 3, 0}} {
			if step.us > 0 {
				f.store.Publish(gossip.LatencyRow, "a", row(step.us))
			}
			for n := 0; n < 12 || step.us == 0 && n < 40; n++ {
				time.Sleep(gossip.TickInterval)
				trace.Reset()
				f.store.Tick()
				f.publishLatencies()
				for line := range bytes.Lines(trace.Bytes()) {
					var use struct{ Age int64 }
					if json.Unmarshal(line, &use) != nil || time.Duration(use.Age)*time.Microsecond > gossip.DefaultAgeBounds[gossip.LatencyRow] {
						t.Errorf("step %d: got a malformed trace line, or an age past the bound of a latency row: %s", i, line)
					}
				}
				if uses := bytes.Count(trace.Bytes(), []byte(`"use"`)); uses != len(f.matrix) {
					t.Errorf("step %d: got %d traced uses for a matrix of %d pairs, want one for each pair", i, uses, len(f.matrix))
				}
			}
			if f.matrixBuilds != step.wantBuilds || len(f.matrix) != step.wantPairs {
				t.Errorf("step %d: built %d matrices, the last with %d pairs, want %d with %d", i, f.matrixBuilds, len(f.matrix), step.wantBuilds, step.wantPairs)
			}
		}
		f.cfg.Trace = nil
		if n := testing.AllocsPerRun(10, f.publishLatencies); n > 0 {
			t.Errorf("got %v allocations while nothing changes, want 0", n)
		}
	})
}
