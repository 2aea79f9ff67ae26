package overhead

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

// Class is the class of requests that agents are told of: a read, which may be repeated at will.
const Class = "lookup"

// AgentConfig is an agent's configuration: the defaults, but for what it says.
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

// AgentProcess is a real agent.
type AgentProcess struct {
	Addr    string // where clients connect
	cmd     *exec.Cmd
	logDone chan struct{} // closed once its log has ended
	logTail []string      // the end of its log, once read is closed
}

// BuildAgent builds the program into a folder and returns the command that starts an agent.
func BuildAgent(dir string) ([]string, error) {
	program := filepath.Join(dir, "martenbeam")
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", program, "martenbeam/cmd/martenbeam")
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	return []string{program, "agent", "--log-format", "json", "--config"}, nil
}

// StartAgent starts an agent from a command, which is given the configuration's file as its last argument, and waits until it
// takes clients and has its list.
func StartAgent(ctx context.Context, dir, config string, env []string, command ...string) (*AgentProcess, error) {
	file, err := os.CreateTemp(dir, "agent-*.toml")
	if err != nil {
		return nil, err
	}
	if _, err = file.WriteString(config); err == nil {
		err = file.Close()
	}
	if err != nil {
		return nil, err
	}
	process := &AgentProcess{cmd: exec.Command(command[0], append(slices.Clone(command[1:]), file.Name())...), logDone: make(chan struct{})}
	process.cmd.Env = append(os.Environ(), env...)
	log, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	serving := make(chan string, 1)
	go process.readLog(log, serving)
	select {
	case process.Addr = <-serving:
		err = process.waitReady(ctx)
	case <-process.logDone:
		err = fmt.Errorf("the agent ended: %s", strings.Join(process.logTail, "\n"))
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		_ = process.cmd.Process.Kill() // ended already if it fails
		<-process.logDone
		_ = process.cmd.Wait() // it was killed
		return nil, err
	}
	return process, nil
}

// readLog reads the log, which says where the agent listens.
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

// waitReady waits until the agent has a list.
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
			return fmt.Errorf("not ready: %w", ctx.Err())
		case <-retry.C:
		}
	}
}

// Stop has the agent finish.
func (p *AgentProcess) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.logDone
	if err := p.cmd.Wait(); err != nil {
		return fmt.Errorf("%w: %s", err, strings.Join(p.logTail, "\n"))
	}
	return nil
}
