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

// runRealHub is a hub as its command runs it.
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

// runFakeHub stands in for a hub's program: it takes settings from its file, or from other hubs, and tells their version to
// who asks. What it gets wrong its mode says.
func runFakeHub(mode, file string) {
	var config struct {
		Listen, Trace string
		Seeds         []string
		Settings      struct{ File, State string }
	}
	if _, err := toml.DecodeFile(file, &config); err != nil {
		panic(err)
	}
	own := func() (v struct{ Version int64 }) {
		if config.Settings.File != "" {
			_, _ = toml.DecodeFile(config.Settings.File, &v) // the next look finds it
		}
		return v
	}
	var version atomic.Int64
	go applySettings(mode, config.Listen, config.Settings.State, config.Seeds, func(v int64) int64 {
		version.Store(max(v, own().Version))
		return version.Load()
	})
	panic(http.ListenAndServe(config.Listen, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":%d}`, version.Load())
	})))
}

// applySettings asks others which version of settings they have, all the time, and logs the highest once it is in force here. hub
// is what a hub has of its own beside, nil at an agent.
func applySettings(mode, listen, state string, others []string, hub func(v int64) int64) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("who", mode) // agents say their name there
	keep := filepath.Join(state, "version")
	var version int64
	have := func(v int64) {
		version = v
		log.Info("settings", "version", v)
		_ = os.MkdirAll(state, 0o755) // what is not kept shows as a version that went back
		_ = os.WriteFile(keep, []byte(strconv.FormatInt(v, 10)), 0o600)
	}
	if text, err := os.ReadFile(keep); err == nil {
		if v, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && mode != "forgets-settings" {
			have(v)
		} else if hub == nil {
			have(1)
		}
	}
	at := netip.MustParseAddrPort(listen).Addr()
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: at.AsSlice()}}).DialContext}}
	for {
		best := version
		for _, addr := range others {
			resp, err := client.Get("http://" + addr + "/fleet/settings")
			if err != nil {
				continue
			}
			var v struct{ Version int64 }
			if json.NewDecoder(resp.Body).Decode(&v) == nil && v.Version > best {
				best = v.Version
			}
			resp.Body.Close()
		}
		if hub != nil {
			best = hub(best)
		}
		if best > version && !(mode == "never-settles" && version > 0 && hub == nil) {
			have(best)
			if goes := map[bool]string{false: "agent-goes-back", true: "hub-goes-back"}[hub != nil]; mode == goes && best > 1 {
				have(best - 1)
				time.Sleep(time.Hour) // it has done its part
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
