package settings

// What settings mean to an agent: they are laid over its own file.

import (
	"sync"

	"martenbeam/internal/config"
)

// AgentConfig is the configuration of a running agent: its own file with the settings in force laid over it. Check and Apply
// serve as functions of a Holder's Config. Of all keys only discovery takes effect while the agent runs, as after SIGHUP. Its
// methods may be called from any goroutine.
type AgentConfig struct {
	file              string
	onDiscoveryChange func(discovery string)

	mu      sync.Mutex
	overlay *Settings      // nil: none
	running *config.Config // as the process started with it, with the present discovery; nil before the start
}

// NewAgentConfig returns the configuration of an agent that has its own file. onDiscoveryChange is called, with the lock
// held, with the address of the discovery service when settings change it.
func NewAgentConfig(file string, onDiscoveryChange func(discovery string)) *AgentConfig {
	return &AgentConfig{file: file, onDiscoveryChange: onDiscoveryChange}
}

// Read reads the agent's file with the settings in force laid over it. The first successful call counts as the start of the
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
	default: // the caller applies what can change while the agent runs
		a.running.Discovery = cfg.Discovery
	}
	return cfg, err
}

// Check returns an error if settings can't be used over the agent's file.
func (a *AgentConfig) Check(s *Settings) error {
	_, err := config.ReadWithSettings(a.file, s)
	return err
}

// Apply brings settings into force as far as that is possible without a restart, and returns the keys that wait for one:
// those in which the result differs from what the process was started with. A key that was changed and changed back does
// not wait. After an error nothing has changed.
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
