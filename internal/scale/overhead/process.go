package overhead

// Building, starting and stopping an agent's process.

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Class is the only request class in the agents' configuration, an idempotent read.
const Class = "lookup"

// AgentConfig returns the text of an agent's configuration file, with the given list service (host:port), the given value of
// attempts.tick, any free port on 127.0.0.1, and one zone, kind and class. Other keys have their defaults.
func AgentConfig(listService, tick string) string {
	return fmt.Sprintf(`listen = "127.0.0.1:0"
discovery = %q
zones = [%q]
zone = %q
kinds = [%q]

[attempts]
tick = %q

[[class]]
name = %q
effect = "safe"
aim = "600ms"
deadline = "2s"
worth = 1.0
`, listService, zoneName, zoneName, kindName, tick, Class)
}

// AgentProcess is an agent that runs in a separate process.
type AgentProcess struct {
	Addr    string // host:port where clients connect
	cmd     *exec.Cmd
	logDone chan struct{} // closed when the log has ended
	logTail []string      // last lines of the log; may be read after logDone is closed
}

// BuildAgent builds the program into dir and returns the command that starts an agent. The caller appends the path of the
// configuration file as the last argument.
func BuildAgent(dir string) ([]string, error) {
	program := filepath.Join(dir, "martenbeam")
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", program, "martenbeam/cmd/martenbeam")
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building the agent: %w: %s", err, out)
	}
	return []string{program, "agent", "--log-format", "json", "--config"}, nil
}

// StartAgent starts an agent and waits until it accepts clients and has an endpoint list. It writes the configuration file
// into dir, appends the file's path to the command, and adds env to the environment. The caller ends the agent with Stop.
func StartAgent(ctx context.Context, dir, config string, env []string, command ...string) (*AgentProcess, error) {
	file, err := os.CreateTemp(dir, "agent-*.toml")
	if err != nil {
		return nil, err
	}
	if _, err = file.WriteString(config); err == nil {
		err = file.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("writing the agent's configuration: %w", err)
	}
	args := append(slices.Clone(command[1:]), file.Name())
	process := &AgentProcess{cmd: exec.Command(command[0], args...), logDone: make(chan struct{})}
	process.cmd.Env = append(os.Environ(), env...)
	log, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the agent: %w", err)
	}
	serving := make(chan string, 1)
	go process.readLog(log, serving)
	select {
	case process.Addr = <-serving:
		err = process.waitReady(ctx)
	case <-process.logDone:
		err = fmt.Errorf("the agent ended before it was serving: %s", strings.Join(process.logTail, "\n"))
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		_ = process.cmd.Process.Kill() // fails only if the process has already ended
		<-process.logDone
		_ = process.cmd.Wait() // returns the kill as an error
		return nil, err
	}
	return process, nil
}

// readLog reads the log until its end, keeps the last 20 lines, and sends the agent's address to serving.
func (p *AgentProcess) readLog(log io.Reader, serving chan<- string) {
	defer close(p.logDone)
	for lines := bufio.NewScanner(log); lines.Scan(); {
		var entry struct {
			Msg    string `json:"Msg"`
			Listen string `json:"Listen"`
		}
		if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Msg == "serving" {
			serving <- entry.Listen
		}
		if p.logTail = append(p.logTail, lines.Text()); len(p.logTail) > 20 {
			p.logTail = p.logTail[1:]
		}
	}
}

const readyTimeout = 20 * time.Second

// waitReady waits until the agent's health check succeeds, which requires an endpoint list.
func (p *AgentProcess) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	retry := time.NewTicker(5 * time.Millisecond)
	defer retry.Stop()
	for {
		resp, err := client.Get("http://" + p.Addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for the agent's health check: %w", ctx.Err())
		case <-retry.C:
		}
	}
}

// Stop sends SIGTERM to the agent, and waits until the process has ended. An exit status other than 0 is an error.
func (p *AgentProcess) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.logDone
	if err := p.cmd.Wait(); err != nil {
		return fmt.Errorf("the agent exited with an error: %w: %s", err, strings.Join(p.logTail, "\n"))
	}
	return nil
}
