package main

import (
	"log/slog"
	"os"

	"brookferry/internal/agent"
)

type agentCmd struct{}

func (agentCmd) Run() error {
	return agent.Serve(slog.New(slog.NewTextHandler(os.Stderr, nil)), os.Getenv)
}
