package settings

import (
	"sync"

	"martenbeam/internal/config"
)

// AgentConfig is what settings mean to an agent: they are laid over its own file. Its Check and Apply are a holder's. Of all keys
// discovery alone takes effect while an agent runs, as after SIGHUP.
type AgentConfig struct {
	file              string
	onDiscoveryChange func(discovery string)

	mu      sync.Mutex
	overlay *Settings
	running *config.Config // what the process was started with, and by now of its live keys; nil: it has not been
}

// NewAgentConfig returns an agent that is configured by a file. follow is told where discovery is when settings change that.
func NewAgentConfig(file string, onDiscoveryChange func(discovery string)) *AgentConfig {
	return &AgentConfig{file: file, onDiscoveryChange: onDiscoveryChange}
}

// Read reads the agent's file with the settings in force laid over it. The first call is the start of the process.
func (a *AgentConfig) Read() (*config.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cfg, err := config.ReadWithSettings(a.file, a.overlay)
	switch {
	case err != nil:
	case a.running == nil:
		running := *cfg
		a.running = &running
	default: // SIGHUP: whoever reads takes over what is live
		a.running.Discovery = cfg.Discovery
	}
	return cfg, err
}

// Check says whether settings can be used over the agent's file.
func (a *AgentConfig) Check(s *Settings) error {
	_, err := config.ReadWithSettings(a.file, s)
	return err
}

// Apply brings settings into force, as far as that goes without a restart, and says which keys wait for one: those in
// which the whole differs from what the process was started with. A key that was changed and changed back waits for none.
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
