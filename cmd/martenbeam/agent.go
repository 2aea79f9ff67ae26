package main

// The agent command and the logging flags.

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"martenbeam/internal/agent"
	"martenbeam/internal/logging"
	"martenbeam/internal/membership"
)

// agentCmd is `martenbeam agent`.
type agentCmd struct {
	Config string `name:"config" help:"Configuration, a TOML file (see config print). Default: what the platform's PROXY_ variables say." env:"MARTENBEAM_CONFIG" placeholder:"FILE"`
	logFlags
}

// logFlags are the logging flags of the agent and hub commands.
type logFlags struct {
	LogLevel  string `name:"log-level" help:"Least level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	LogFormat string `name:"log-format" help:"Form of the log: text or json." enum:"text,json" default:"text"`
}

// logger returns a logger that writes to w with the level and format of the flags. The caller must close it.
func (f *logFlags) logger(w io.Writer) *logging.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		panic(err) // kong accepts only the values of the enum
	}
	options := &slog.HandlerOptions{Level: level}
	if f.LogFormat == "json" {
		return logging.New(w, slog.NewJSONHandler, options)
	}
	return logging.New(w, slog.NewTextHandler, options)
}

// Run runs an agent until SIGTERM. The configuration comes from a file or from the platform's PROXY_ variables.
func (c *agentCmd) Run(o *output) error {
	log := c.logger(o.stderr)
	defer log.Close()
	source := agent.PlatformSource(os.Getenv)
	source.Join = membership.JoinFromConfig
	if c.Config != "" {
		var err error
		if source, err = membership.FromFile(c.Config, log.Logger); err != nil {
			return usageError{err}
		}
	} else if os.Getenv("PROXY_CONFIG") == "" {
		return usageError{fmt.Errorf("no configuration: specify a file with --config or MARTENBEAM_CONFIG, or set PROXY_CONFIG as the platform does")}
	}
	return agent.Serve(log.Logger, source)
}
