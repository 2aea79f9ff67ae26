package settings

import (
	"sync"

	"martenbeam/internal/config"
)

// Agent is what settings mean to an agent: they are laid over its own file. Its Check and Apply are a holder's. Of all keys
// discovery alone takes effect while an agent runs, as after SIGHUP.
type Agent struct {
	file   string
	follow func(discovery string)

	mu      sync.Mutex
	over    *Settings
	running *config.Config // what the process was started with, and by now of its live keys; nil: it has not been
}

// NewAgent returns an agent that is configured by a file. follow is told where discovery is when settings change that.
func NewAgent(file string, follow func(discovery string)) *Agent {
	return &Agent{file: file, follow: follow}
}

// Read reads the agent's file with the settings in force laid over it. The first call is the start of the process.
func (a *Agent) Read() (*config.Config, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, err := config.ReadWith(a.file, a.over)
	switch {
	case err != nil:
	case a.running == nil:
		running := *c
		a.running = &running
	default: // SIGHUP: whoever reads takes over what is live
		a.running.Discovery = c.Discovery
	}
	return c, err
}

// Check says whether settings can be used over the agent's file.
func (a *Agent) Check(s *Settings) error {
	_, err := config.ReadWith(a.file, s)
	return err
}

// Apply brings settings into force, as far as that goes without a restart, and says which keys wait for one: those in
// which the whole differs from what the process was started with. A key that was changed and changed back waits for none.
func (a *Agent) Apply(s *Settings) (later []string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, err := config.ReadWith(a.file, s)
	if err != nil {
		return nil, err
	}
	a.over = s
	if a.running == nil {
		return nil, nil
	}
	if c.Discovery != a.running.Discovery {
		a.running.Discovery = c.Discovery
		a.follow(c.Discovery)
	}
	return config.Diff(a.running, c), nil
}
