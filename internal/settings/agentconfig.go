package settings

// Settings at an agent, where they override keys of its own file.

import (
	"sync"

	"martenbeam/internal/config"
)

// AgentConfig is the configuration of a running agent: its own file, overridden by the settings in force. Check and Apply
// are functions for the Config of a Holder. While the agent runs, only a change of the key discovery takes effect, as after
// SIGHUP. The methods may be called from any goroutine.
type AgentConfig struct {
	file              string
	onDiscoveryChange func(discovery string)

	mu      sync.Mutex
	overlay *Settings      // nil: none
	running *config.Config // configuration at the start, with the current discovery; nil before the start
}

// NewAgentConfig returns the configuration of an agent whose own file is file. When settings change the address of the
// discovery service, onDiscoveryChange is called with the new address while the lock is held.
func NewAgentConfig(file string, onDiscoveryChange func(discovery string)) *AgentConfig {
	return &AgentConfig{file: file, onDiscoveryChange: onDiscoveryChange}
}

// Read reads the agent's file, overridden by the settings in force. The first successful call counts as the start of the
// process, later ones as a reload after SIGHUP.
func (a *AgentConfig) Read() (*config.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cfg, err := config.ReadWithSettings(a.file, a.overlay)
	switch {
	case err != nil:
	case a.running == nil:
		running := *cfg
		a.running = &running
	default: // only discovery can change while the agent runs; the caller applies the change
		a.running.Discovery = cfg.Discovery
	}
	return cfg, err
}

// Check returns an error if the agent's file, overridden by the settings, is not a valid configuration.
func (a *AgentConfig) Check(s *Settings) error {
	_, err := config.ReadWithSettings(a.file, s)
	return err
}

// Apply brings settings into force as far as possible without a restart, and returns the keys that wait for a restart: those
// whose new values differ from the running configuration. A key that was changed and changed back does not wait. After an
// error the configuration is unchanged.
func (a *AgentConfig) Apply(s *Settings) (pendingRestart []string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	merged, err := config.ReadWithSettings(a.file, s)
	if err != nil {
		return nil, err
	}
	a.overlay = s
	if a.running == nil {
		return nil, nil
	}
	if merged.Discovery != a.running.Discovery {
		a.running.Discovery = merged.Discovery
		a.onDiscoveryChange(merged.Discovery)
	}
	return config.Diff(a.running, merged), nil
}
