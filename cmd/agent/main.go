// Command agent is the platform's program: one agent, configured by PROXY_ environment variables, which serves the clients of one
// process until SIGTERM. If the agent fails, the program logs the error and exits with status 1.
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
