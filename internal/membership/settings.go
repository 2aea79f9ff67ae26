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

// FromFile is an agent that a file configures. Where there are hubs their settings are laid over it: from the start those that
// were kept, and later those that come.
func FromFile(file string, log *slog.Logger) (agent.Source, error) {
	own, err := config.Read(file)
	if err != nil {
		return agent.Source{}, err
	}
	source := agent.Source{Name: file, Getenv: func(string) string { return "" }, Join: JoinFromConfig}
	read := func() (*config.Config, error) { return config.Read(file) }
	if len(own.Fleet.Hubs) > 0 {
		m := &discoverySwitch{}
		over := settings.NewAgentConfig(file, m.switchTo)
		h := newSettingsHolder(settings.Config{Check: over.Check, Apply: over.Apply, Log: log}, own.Settings.State)
		read = over.Read
		source.Join = func(raw []byte) (agent.JoinFunc, error) { return joinFromConfig(raw, &preparedSettings{h, m}) }
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

// preparedSettings are settings that were made before the agent was.
type preparedSettings struct {
	holder    *settings.Holder
	discovery *discoverySwitch
}

// discoverySwitch has an agent watch discovery elsewhere, once there is one.
type discoverySwitch struct {
	mu     sync.Mutex
	follow func(discovery string)
}

func (m *discoverySwitch) switchTo(discovery string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follow != nil {
		m.follow(discovery)
	}
}

func (m *discoverySwitch) setFollow(follow func(discovery string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follow = follow
}

// newSettingsHolder keeps settings in a folder, and begins with what was kept there; "": in none.
func newSettingsHolder(c settings.Config, state string) *settings.Holder {
	if state == "" {
		return settings.NewHolder(c)
	}
	c.Save = settings.SaveFunc(state)
	h := settings.NewHolder(c)
	if err := h.Load(state); err != nil {
		c.Log.Error("settings: what was kept can't be used", "error", err)
	}
	return h
}

// platformSettings are the settings of an agent that is configured in the platform's form, over which no text is laid:
// where discovery is takes effect, and all other keys are told to wait.
func platformSettings(state string, cfg *agent.Config, follow func(discovery string), log *slog.Logger) *settings.Holder {
	m := &discoverySwitch{}
	m.setFollow(func(discovery string) { cfg.Discovery = discovery }) // the agent is about to be made
	h := newSettingsHolder(settings.Config{Apply: m.apply, Log: log}, state)
	m.setFollow(follow)
	return h
}

func (m *discoverySwitch) apply(s *settings.Settings) (later []string, err error) {
	var v struct {
		Discovery string `toml:"discovery"`
	}
	meta, err := toml.Decode(s.Text, &v)
	if err != nil {
		return nil, err
	}
	if v.Discovery != "" {
		m.switchTo(v.Discovery)
	}
	for _, key := range meta.Undecoded() {
		if name := key.String(); name != "version" && !slices.Contains(later, name) {
			later = append(later, name)
		}
	}
	return later, nil
}
