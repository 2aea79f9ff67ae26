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
		discovery := &discoverySwitch{}
		overlay := settings.NewAgentConfig(file, discovery.switchTo)
		holder := newSettingsHolder(settings.Config{Check: overlay.Check, Apply: overlay.Apply, Log: log}, own.Settings.State)
		read = overlay.Read
		source.Join = func(raw []byte) (agent.JoinFunc, error) {
			return joinFromConfig(raw, &preparedSettings{holder, discovery})
		}
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

func (d *discoverySwitch) switchTo(discovery string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follow != nil {
		d.follow(discovery)
	}
}

func (d *discoverySwitch) setFollow(follow func(discovery string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow = follow
}

// newSettingsHolder keeps settings in a folder, and begins with what was kept there; "": in none.
func newSettingsHolder(cfg settings.Config, dir string) *settings.Holder {
	if dir == "" {
		return settings.NewHolder(cfg)
	}
	cfg.Save = settings.SaveFunc(dir)
	holder := settings.NewHolder(cfg)
	if err := holder.Load(dir); err != nil {
		cfg.Log.Error("settings: what was kept can't be used", "error", err)
	}
	return holder
}

// platformSettings are the settings of an agent that is configured in the platform's form, over which no text is laid:
// where discovery is takes effect, and all other keys are told to wait.
func platformSettings(dir string, cfg *agent.Config, follow func(discovery string), log *slog.Logger) *settings.Holder {
	discovery := &discoverySwitch{}
	discovery.setFollow(func(discovery string) { cfg.Discovery = discovery }) // the agent is about to be made
	holder := newSettingsHolder(settings.Config{Apply: discovery.apply, Log: log}, dir)
	discovery.setFollow(follow)
	return holder
}

func (d *discoverySwitch) apply(text *settings.Settings) (later []string, err error) {
	var document struct {
		Discovery string `toml:"discovery"`
	}
	meta, err := toml.Decode(text.Text, &document)
	if err != nil {
		return nil, err
	}
	if document.Discovery != "" {
		d.switchTo(document.Discovery)
	}
	for _, key := range meta.Undecoded() {
		if name := key.String(); name != "version" && !slices.Contains(later, name) {
			later = append(later, name)
		}
	}
	return later, nil
}
