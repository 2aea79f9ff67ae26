package main

import (
	"brookferry/internal/lab/inject"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// After SIGHUP what the new discovery tells counts 4 s later: also where the configuration can't be read at that moment, or is
// half written, and where signals come in series.
func TestReloadThatFails(t *testing.T) {
	old, fresh := newStandIn(t), newStandIn(t)
	for name, failures := range map[string][]inject.Failure{
		"open ENFILE":   {{Call: inject.Open, Path: "config.json", Errno: syscall.ENFILE, Times: 1}},
		"open EMFILE":   {{Call: inject.Open, Path: "config.json", Errno: syscall.EMFILE, Times: 3}},
		"open EINTR":    {{Call: inject.Open, Path: "config.json", Errno: syscall.EINTR, Times: 1}},
		"read EIO":      {{Call: inject.Read, Path: "config.json", Errno: syscall.EIO, Times: 1}},
		"read 3 EIO":    {{Call: inject.Read, Path: "config.json", Errno: syscall.EIO, Times: 3}},
		"open 2 s":      {{Call: inject.Open, Path: "config.json", Errno: syscall.ENFILE}},
		"half written":  nil,
		"twice, ENFILE": {{Call: inject.Open, Path: "config.json", Errno: syscall.ENFILE, Times: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := newCatalog(t, ready("old", old))
			after := newCatalog(t, listed{ID: "old", Addr: old.addr, Zone: "a", Kind: "m", State: "draining", Weight: 1}, ready("new", fresh))
			d := deploy(t, before.addr, inject.Plan{}, nil, "")
			awaitReady(t, d.addr)
			text := fmt.Appendf(nil, faultsConfig, d.addr, after.addr)
			first := text
			if failures == nil {
				first = text[:len(text)/2]
			}
			if err := os.WriteFile(d.config, first, 0o600); err != nil {
				t.Fatal(err)
			}
			d.apply(t, inject.Plan{Failures: failures})
			d.signal(t, syscall.SIGHUP)
			told := time.Now()
			if strings.HasPrefix(name, "twice") {
				d.signal(t, syscall.SIGHUP)
			}
			if failures == nil || failures[0].Times == 0 {
				time.Sleep(2 * time.Second)
				d.apply(t, inject.Plan{})
			}
			if err := os.WriteFile(d.config, text, 0o600); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Until(told.Add(4 * time.Second)))
			was := fresh.seen.Load()
			for range 10 {
				if status, err := request(alone, d.addr, "/get/"+name[:4]); status != 200 {
					t.Fatalf("%d, %v", status, err)
				}
			}
			if fresh.seen.Load() == was {
				t.Error("requests go to a backend that drains in the new discovery")
			}
		})
	}
}
