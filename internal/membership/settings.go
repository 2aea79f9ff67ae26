package membership

import (
	"log/slog"
	"slices"
	"sync"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/agent"
	"martenbeam/internal/config"
	"martenbeam/internal/settings"
)

// File is an agent that a file configures. Where there are hubs their settings are laid over it: from the start those that
// were kept, and later those that come.
func File(file string, log *slog.Logger) (agent.Source, error) {
	own, err := config.Read(file)
	if err != nil {
		return agent.Source{}, err
	}
	source := agent.Source{Name: file, Getenv: func(string) string { return "" }, Join: Shares}
	read := func() (*config.Config, error) { return config.Read(file) }
	if len(own.Fleet.Hubs) > 0 {
		m := &mover{}
		over := settings.NewAgent(file, m.move)
		h := holder(settings.Config{Check: over.Check, Apply: over.Apply, Log: log}, own.Settings.State)
		read = over.Read
		source.Join = func(raw []byte) (agent.JoinFunc, error) { return shares(raw, &given{h, m}) }
	}
	source.Read = func() ([]byte, error) {
		c, err := read()
		if err != nil {
			return nil, err
		}
		return c.Platform()
	}
	return source, nil
}

// given are settings that were made before the agent was.
type given struct {
	holder *settings.Holder
	moves  *mover
}

// mover has an agent watch discovery elsewhere, once there is one.
type mover struct {
	mu     sync.Mutex
	follow func(discovery string)
}

func (m *mover) move(discovery string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follow != nil {
		m.follow(discovery)
	}
}

func (m *mover) set(follow func(discovery string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follow = follow
}

// holder keeps settings in a folder, and begins with what was kept there; "": in none.
func holder(c settings.Config, state string) *settings.Holder {
	if state == "" {
		return settings.NewHolder(c)
	}
	c.Keep = settings.Keep(state)
	h := settings.NewHolder(c)
	if err := h.Load(state); err != nil {
		c.Log.Error("settings: what was kept can't be used", "error", err)
	}
	return h
}

// platformSettings are the settings of an agent that is configured in the platform's form, over which no text is laid:
// where discovery is takes effect, and all other keys are told to wait.
func platformSettings(state string, cfg *agent.Config, follow func(discovery string), log *slog.Logger) *settings.Holder {
	m := &mover{}
	m.set(func(discovery string) { cfg.Discovery = discovery }) // the agent is about to be made
	h := holder(settings.Config{Apply: m.apply, Log: log}, state)
	m.set(follow)
	return h
}

func (m *mover) apply(s *settings.Settings) (later []string, err error) {
	var v struct {
		Discovery string `toml:"discovery"`
	}
	meta, err := toml.Decode(s.Text, &v)
	if err != nil {
		return nil, err
	}
	if v.Discovery != "" {
		m.move(v.Discovery)
	}
	for _, key := range meta.Undecoded() {
		if name := key.String(); name != "version" && !slices.Contains(later, name) {
			later = append(later, name)
		}
	}
	return later, nil
}
