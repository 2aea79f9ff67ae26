package agent

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/wire"
)

// Config is what an agent is told at its start.
type Config struct {
	Name       string
	Listen     string // where clients connect
	Discovery  string
	Mgmt       string // where operators call; "": nowhere
	ListenFD   int    // the listening socket that the platform holds; 0: none, listen by yourself
	Scratch    string // where the processes of an agent find what they hand on
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int    // file descriptors that the process may hold
	DialFrom   string // the address from which backends are called; "": the system's choice
	PeerListen string
	Peers      []string                // addresses by agent number
	Known      *discovery.EndpointList // the list of backends as last stored; may be absent
	Join       Join                    // nil: there is no fleet

	Settings balancer.Settings
	Site     wire.Site
}

// Source is where a configuration comes from. It is read at the start, and again after a SIGHUP.
type Source struct {
	Name   string
	Read   func() ([]byte, error)         // in the platform's form
	Getenv func(string) string            // its PROXY_ variables, where set, go before what the text says
	Join   func(raw []byte) (Join, error) // what the agent shares, by the same text; nil: nothing
}

// Platform is the file that PROXY_CONFIG names.
func Platform(getenv func(string) string) Source {
	path := getenv("PROXY_CONFIG")
	return Source{Name: path, Getenv: getenv, Read: func() ([]byte, error) {
		if path == "" {
			return nil, errors.New("PROXY_CONFIG is not set")
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			err = fmt.Errorf("PROXY_CONFIG: %w", err)
		}
		return raw, err
	}}
}

// Load reads the configuration. An error names the field that is wrong.
func (s Source) Load() (*Config, error) {
	raw, err := s.Read()
	if err != nil {
		return nil, err
	}
	c, err := parseConfig(raw, s.Getenv)
	if err == nil && s.Join != nil {
		c.Join, err = s.Join(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return c, nil
}

// Discovery reads the configuration again after it has been replaced, and returns where discovery is
// by now. There the file goes before the variable, which says what held when the program started.
func (s Source) Discovery() (string, error) {
	getenv := s.Getenv
	s.Getenv = func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	}
	c, err := s.Load()
	if err != nil {
		return "", err
	}
	return c.Discovery, nil
}

func parseConfig(raw []byte, getenv func(string) string) (*Config, error) {
	var f struct {
		Name      string `json:"Name"`
		Listen    string `json:"Listen"`
		Discovery string `json:"Discovery"`
		Seed      string `json:"Seed"`
		Limits    struct {
			Cores    float64 `json:"Cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"Sockets"`
		} `json:"Limits"`
		Mgmt       string                  `json:"Mgmt"`
		DialFrom   string                  `json:"dial_from"`
		PeerListen string                  `json:"peer_listen"`
		Peers      []string                `json:"Peers"`
		Known      *discovery.EndpointList `json:"Known"`
		Settings   json.RawMessage         `json:"Settings"`
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Mgmt: f.Mgmt, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		DialFrom: f.DialFrom, PeerListen: f.PeerListen, Peers: f.Peers, Known: f.Known}
	for name, field := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery,
		"PROXY_MGMT": &c.Mgmt} {
		// A process that replaces another is started with the first one's variables: where discovery has moved since, the file,
		// which is replaced then, says so.
		if name == "PROXY_DISCOVERY" && getenv("PROXY_FD") != "" && *field != "" {
			continue
		}
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", f.Seed)
	}
	if err := checkAddr("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddr("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if text := getenv("PROXY_FD"); text != "" {
		if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("PROXY_FD: %q is no descriptor that a process inherits", text)
		}
		c.Scratch = cmp.Or(getenv("TMPDIR"), os.TempDir())
	}
	if c.DialFrom != "" && net.ParseIP(c.DialFrom) == nil {
		return nil, fmt.Errorf("dial_from: %q is not an IP address", c.DialFrom)
	}
	if c.Mgmt != "" {
		if err := checkAddr("mgmt", c.Mgmt); err != nil {
			return nil, err
		}
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %v is negative", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < leastSockets:
		return nil, fmt.Errorf("limits.sockets: %v is too few, at least %d are needed", c.Sockets, leastSockets)
	case len(f.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Site, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The module spreads its calls for lists over parts of this time.
	c.Settings.AskWithin = min(c.Settings.AskWithin, discovery.PropagationDeadline)
	for i, name := range c.Site.Classes {
		if name == "" {
			return nil, fmt.Errorf("settings: Profiles[%d].Name: missing", i)
		}
	}
	if c.Settings.ConnectTimeout <= 0 {
		return nil, errors.New("settings: PolicyLimits.ConnectTimeoutMs: must be positive")
	}
	if c.Site.IdleClose <= 0 {
		return nil, errors.New("settings: PolicyLimits.IdleCloseMs: must be positive")
	}
	if c.Settings.Peers {
		if err := checkAddr("peer_listen", c.PeerListen); err != nil {
			return nil, err
		}
		if len(c.Peers) != c.Settings.Balancers {
			return nil, fmt.Errorf("peers: %d addresses for %d agents", len(c.Peers), c.Settings.Balancers)
		}
		for i, p := range c.Peers {
			if err := checkAddr(fmt.Sprintf("peers[%d]", i), p); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func checkAddr(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	host, _, err := net.SplitHostPort(addr)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address (there is no DNS)", host)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// halved is what one of two processes of this agent may use.
func (c *Config) halved() *Config {
	half := *c
	half.Sockets = cmp.Or(c.Sockets, defaultSockets) / 2
	half.MemoryMB = c.MemoryMB / 2
	return &half
}

// LimitMemory has the runtime collect well before the memory limit kills the process.
func (c *Config) LimitMemory() {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
}

// shareable is how many descriptors are shared out once the operators' door has its own.
func (c *Config) shareable() int {
	limit := cmp.Or(c.Sockets, defaultSockets)
	if c.Mgmt != "" {
		limit -= operationsSockets + 1
	}
	return limit
}

// longest is the longest time that any client waits.
func (c *Config) longest() time.Duration {
	var d time.Duration
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}
