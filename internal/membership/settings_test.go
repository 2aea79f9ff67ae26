package membership

// This file tests stored settings at the start of an agent.

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"martenbeam/balancer"
	"martenbeam/internal/agent"
	"martenbeam/internal/config"
	"martenbeam/internal/settings"
)

const agentTOML = `discovery = "127.0.0.1:1"
[fleet]
listen = "127.0.0.1:0"
[fleet.hubs]
a = "127.0.0.1:2"
[settings]
state = %q
[[class]]
name = "get"
effect = "safe"
aim = "1s"
deadline = "2s"
`

// Stored settings are in force from the start of an agent, in both forms of its configuration.
func TestStoredSettingsApplyFromTheStart(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	dir := t.TempDir()
	if err := settings.SaveFunc(dir)(2, []string{"version = 2\ndiscovery = \"127.0.0.1:9\"\n[attempts]\nmost = 3\n"}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "agent.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, agentTOML, dir), 0o600); err != nil {
		t.Fatal(err)
	}
	withoutStored, err := config.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	overlaid, err := FromFile(path, log)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		agent.Source
		maxAttempts int
	}{"file": {overlaid, 3}, "platform": {agent.Source{Read: withoutStored.Platform, Getenv: func(string) string { return "" }, Join: JoinFromConfig}, 5}} {
		cfg, err := c.Load()
		if err != nil {
			t.Fatal(err)
		}
		follow := func(addr string) { t.Errorf("%s: discovery changed to %s before the agent runs", name, addr) }
		if _, _, err := cfg.Join(cfg, log, func(balancer.Event) {}, follow); err != nil {
			t.Fatal(err)
		}
		if cfg.Discovery != "127.0.0.1:9" || cfg.Settings.MaxAttempts != c.maxAttempts {
			t.Errorf("%s: got discovery at %s and %d attempts, want 127.0.0.1:9 and %d", name, cfg.Discovery, cfg.Settings.MaxAttempts, c.maxAttempts)
		}
	}
}
