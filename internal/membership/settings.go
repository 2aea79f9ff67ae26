package membership

// This file overlays settings from hubs on an agent's configuration.

import (
	"log/slog"
	"slices"
	"sync"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/agent"
	"martenbeam/internal/config"
	"martenbeam/internal/settings"
)

// FromFile returns the source of the configuration of an agent that is configured by a martenbeam file. If the file names
// hubs, the settings from hubs overlay it: the stored settings from the start, and later the received settings. It returns
// an error if the file cannot be read or is invalid.
func FromFile(file string, log *slog.Logger) (agent.Source, error) {
	fileConfig, err := config.Read(file)
	if err != nil {
		return agent.Source{}, err
	}
	source := agent.Source{Name: file, Getenv: func(string) string { return "" }, Join: JoinFromConfig}
	read := func() (*config.Config, error) { return config.Read(file) }
	if len(fileConfig.Fleet.Hubs) > 0 {
		discovery := &discoverySwitch{}
		overlay := settings.NewAgentConfig(file, discovery.switchTo)
		holder := newSettingsHolder(settings.Config{Check: overlay.Check, Apply: overlay.Apply, Log: log}, fileConfig.Settings.State)
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

// preparedSettings are settings that were loaded before the agent was made.
type preparedSettings struct {
	holder    *settings.Holder
	discovery *discoverySwitch
}

// discoverySwitch passes a changed address of discovery to the agent. Until setFollow is called there is no agent, and changes
// are ignored. Its methods may be called from any goroutine.
type discoverySwitch struct {
	mu     sync.Mutex // protects follow, and is locked during calls of follow
	follow func(discovery string)
}

// switchTo makes the agent use another address of discovery.
func (d *discoverySwitch) switchTo(discovery string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follow != nil {
		d.follow(discovery)
	}
}

// setFollow sets the function that makes the agent use another address.
func (d *discoverySwitch) setFollow(follow func(discovery string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow = follow
}

// newSettingsHolder returns a holder that stores settings in dir and has loaded the settings stored there. If dir is
// empty the holder stores nothing. Stored settings that cannot be used are logged.
func newSettingsHolder(cfg settings.Config, dir string) *settings.Holder {
	if dir == "" {
		return settings.NewHolder(cfg)
	}
	cfg.Save = settings.SaveFunc(dir)
	holder := settings.NewHolder(cfg)
	if err := holder.Load(dir); err != nil {
		cfg.Log.Error("stored settings unusable", "error", err)
	}
	return holder
}

// platformSettings returns the settings holder of an agent whose configuration has the platform's form. Of the settings from
// hubs only the address of discovery takes effect; all other keys are reported as pending until a restart.
func platformSettings(dir string, cfg *agent.Config, follow func(discovery string), log *slog.Logger) *settings.Holder {
	discovery := &discoverySwitch{}
	discovery.setFollow(func(discovery string) { cfg.Discovery = discovery }) // until the agent is created
	holder := newSettingsHolder(settings.Config{Apply: discovery.apply, Log: log}, dir)
	discovery.setFollow(follow)
	return holder
}

// apply applies the address of discovery and returns the other keys, which are pending until a restart.
func (d *discoverySwitch) apply(received *settings.Settings) (pending []string, err error) {
	var document struct {
		Discovery string `toml:"discovery"`
	}
	meta, err := toml.Decode(received.Text, &document)
	if err != nil {
		return nil, err
	}
	if document.Discovery != "" {
		d.switchTo(document.Discovery)
	}
	for _, key := range meta.Undecoded() {
		if name := key.String(); name != "version" && !slices.Contains(pending, name) {
			pending = append(pending, name)
		}
	}
	return pending, nil
}
