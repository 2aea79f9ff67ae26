package main

// The commands that check a configuration or print the defaults.

import (
	"errors"
	"fmt"
	"io"
	"os"

	"martenbeam/internal/config"
	"martenbeam/internal/settings"
)

// configCmd is `martenbeam config`.
type configCmd struct {
	Check checkCmd `name:"check" cmd:"" help:"Say whether a configuration can be used. Exit 0 if it can, 2 if not."`
	Print printCmd `name:"print" cmd:"" help:"Print every key with its default and what it means."`
}

// checkCmd is `martenbeam config check`.
type checkCmd struct {
	File string `name:"file" arg:"" optional:"" help:"A TOML file."`

	Settings string `name:"settings" help:"Check settings of all agents instead (docs/settings.md)." placeholder:"FILE"`
	With     string `name:"with" help:"The agent's file over which the settings are laid." placeholder:"FILE"`
	Hub      string `name:"hub" help:"Check a hub's configuration instead (docs/hub.md)." placeholder:"FILE"`
}

// Run checks one file: the hub's configuration of --hub, otherwise the settings of --settings, otherwise the agent's configuration.
func (c *checkCmd) Run(o *output) error {
	if c.Hub != "" {
		return c.checkHub(o)
	}
	if c.Settings != "" {
		return c.checkSettings(o)
	}
	if c.File == "" || c.With != "" {
		return usageError{errors.New("specify a FILE, --settings FILE [--with FILE] or --hub FILE")}
	}
	if _, err := config.Read(c.File); err != nil {
		return usageError{err}
	}
	fmt.Fprintln(o.stdout, c.File+": can be used")
	return nil
}

// checkSettings checks the settings for all agents. If --with names an agent's configuration, checkSettings also checks that
// configuration with the settings applied.
func (c *checkCmd) checkSettings(o *output) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return usageError{err}
	}
	parsed, err := settings.Parse(c.Settings, string(text))
	if err == nil && c.With != "" {
		_, err = config.ReadWithSettings(c.With, parsed)
	}
	if err != nil {
		return usageError{err}
	}
	fmt.Fprintf(o.stdout, "%s: version %d can be used\n", c.Settings, parsed.Version)
	return nil
}

// checkHub checks the configuration of a hub.
func (c *checkCmd) checkHub(o *output) error {
	if _, err := config.ReadHub(c.Hub); err != nil {
		return usageError{err}
	}
	fmt.Fprintln(o.stdout, c.Hub+": can be used")
	return nil
}

// printCmd is `martenbeam config print`.
type printCmd struct {
	Hub bool `name:"hub" help:"Of a hub's configuration."`
}

// Run prints the default configuration of an agent or a hub.
func (c *printCmd) Run(o *output) error {
	text := config.Default
	if c.Hub {
		text = config.DefaultHub
	}
	_, err := io.WriteString(o.stdout, text)
	return err
}
