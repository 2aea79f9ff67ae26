// Command agent is one agent: it serves the clients of one process until SIGTERM.
package main

import (
	"log/slog"
	"os"

	"martenbeam/internal/agent"
	"martenbeam/internal/logging"
)

func main() {
	log := logging.New(os.Stderr, slog.NewTextHandler, nil)
	err := agent.Serve(log.Logger, agent.PlatformSource(os.Getenv))
	if err != nil {
		log.Error("agent failed", "error", err)
	}
	log.Close()
	if err != nil {
		os.Exit(1)
	}
}
