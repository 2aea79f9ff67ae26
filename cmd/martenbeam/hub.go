package main

// The hub command.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"martenbeam/internal/config"
	"martenbeam/internal/hubd"
	"martenbeam/internal/membership"
)

// hubCmd is `martenbeam hub`.
type hubCmd struct {
	Config string `name:"config" help:"Configuration, a TOML file (see config print --hub)." required:"" placeholder:"FILE"`
	logFlags
}

// Run runs a hub until SIGTERM or an interrupt. The hub follows changes of the files that its configuration names, but reads
// the configuration itself only once and ignores SIGHUP.
func (c *hubCmd) Run(o *output) error {
	cfg, err := config.ReadHub(c.Config)
	if err != nil {
		return usageError{err}
	}
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	log := c.logger(o.stderr)
	defer log.Close()
	h, err := hubd.New(cfg, membership.Version(), log.Logger)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}
