package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/config"
	"martenbeam/internal/hubd"
)

// runRealHub runs a real hub as the hub command does.
func runRealHub(file string) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.ReadHub(file)
	if err == nil {
		var h *hubd.Hub
		if h, err = hubd.New(cfg, "test", log); err == nil {
			ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer cancel()
			err = h.Run(ctx)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runFakeHub runs a fake hub. It gets settings from its file or from other hubs, and serves their version. Its mode names its
// fault.
func runFakeHub(mode, file string) {
	var config struct {
		Listen, Trace string
		Seeds         []string
		Settings      struct{ File, State string }
	}
	if _, err := toml.DecodeFile(file, &config); err != nil {
		panic(err)
	}
	ownSettings := func() (v struct{ Version int64 }) {
		if config.Settings.File != "" {
			_, _ = toml.DecodeFile(config.Settings.File, &v) // the next call reads the file again
		}
		return v
	}
	var version atomic.Int64
	go applySettings(mode, config.Listen, config.Settings.State, config.Seeds, func(v int64) int64 {
		version.Store(max(v, ownSettings().Version))
		return version.Load()
	})
	panic(http.ListenAndServe(config.Listen, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":%d}`, version.Load())
	})))
}

// applySettings polls other processes for the versions of their settings, applies the highest and logs it. mergeOwn
// returns the higher of a version and the highest version of the hub's own file; mergeOwn is nil for an agent.
func applySettings(mode, listen, state string, others []string, mergeOwn func(v int64) int64) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("who", mode) // real agents log their name under this key
	versionFile := filepath.Join(state, "version")
	var version int64
	apply := func(v int64) {
		version = v
		log.Info("settings", "version", v)
		_ = os.MkdirAll(state, 0o755) // a version that is not stored shows as a regression after a restart
		_ = os.WriteFile(versionFile, []byte(strconv.FormatInt(v, 10)), 0o600)
	}
	if text, err := os.ReadFile(versionFile); err == nil {
		if v, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && mode != "forgets-settings" {
			apply(v)
		} else if mergeOwn == nil {
			apply(1)
		}
	}
	at := netip.MustParseAddrPort(listen).Addr()
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: at.AsSlice()}}).DialContext}}
	for {
		highest := version
		for _, addr := range others {
			resp, err := client.Get("http://" + addr + "/fleet/settings")
			if err != nil {
				continue
			}
			var v struct{ Version int64 }
			if json.NewDecoder(resp.Body).Decode(&v) == nil && v.Version > highest {
				highest = v.Version
			}
			resp.Body.Close()
		}
		if mergeOwn != nil {
			highest = mergeOwn(highest)
		}
		if highest > version && !(mode == "never-settles" && version > 0 && mergeOwn == nil) {
			apply(highest)
			if revertingMode := map[bool]string{false: "agent-goes-back", true: "hub-goes-back"}[mergeOwn != nil]; mode == revertingMode && highest > 1 {
				apply(highest - 1)
				time.Sleep(time.Hour) // the fault has occurred: do nothing more
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
