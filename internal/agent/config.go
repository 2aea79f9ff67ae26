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

// Config is an agent's configuration, as read once at the start.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string
	AdminAddr       string // address for admin calls; "": none
	ListenFD        int    // inherited listening socket that the platform holds; 0: none, the agent listens on Listen
	HandoverDir     string // directory in which the processes of one agent hand state over
	Seed            uint64
	Cores           float64
	MemoryMB        int
	MaxDescriptors  int    // file descriptors that the process may hold; 0: defaultDescriptors
	DialFrom        string // local IP address for connections to backends; "": the system chooses
	PeerListen      string
	Peers           []string                // addresses by agent number
	CachedEndpoints *discovery.EndpointList // endpoint list as last stored; may be nil
	Join            JoinFunc                // nil: the agent belongs to no fleet

	Settings balancer.Settings
	Site     wire.Site
}

// Source is where a configuration comes from. It is read at the start, and again after each SIGHUP.
type Source struct {
	Name   string
	Read   func() ([]byte, error)             // returns the text in the platform's form
	Getenv func(string) string                // PROXY_ variables that are set take precedence over the text
	Join   func(raw []byte) (JoinFunc, error) // returns what joins the fleet by the same text; nil: no fleet
}

// PlatformSource returns the source of a platform's agent: the file that PROXY_CONFIG names.
func PlatformSource(getenv func(string) string) Source {
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

// Load reads and checks the configuration. An error names the source and the field that is wrong.
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

// ReloadDiscovery reads the configuration again and returns discovery's present address. Here the text takes precedence
// over PROXY_DISCOVERY, which says what was valid when the process was started.
func (s Source) ReloadDiscovery() (string, error) {
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
	var parsed struct {
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
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, err
	}
	c := &Config{Name: parsed.Name, Listen: parsed.Listen, Discovery: parsed.Discovery, AdminAddr: parsed.Mgmt, Cores: parsed.Limits.Cores,
		MemoryMB: parsed.Limits.MemoryMB, MaxDescriptors: parsed.Limits.Sockets,
		DialFrom: parsed.DialFrom, PeerListen: parsed.PeerListen, Peers: parsed.Peers, CachedEndpoints: parsed.Known}
	for name, field := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery,
		"PROXY_MGMT": &c.AdminAddr} {
		// A process that replaces another is started with the variables of the first. If discovery has moved
		// since, only the file says so, which was replaced then.
		if name == "PROXY_DISCOVERY" && getenv("PROXY_FD") != "" && *field != "" {
			continue
		}
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", parsed.Seed)
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if text := getenv("PROXY_FD"); text != "" {
		if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("PROXY_FD: %q is no descriptor that a process inherits", text)
		}
		c.HandoverDir = cmp.Or(getenv("TMPDIR"), os.TempDir())
	}
	if c.DialFrom != "" && net.ParseIP(c.DialFrom) == nil {
		return nil, fmt.Errorf("dial_from: %q is not an IP address", c.DialFrom)
	}
	if c.AdminAddr != "" {
		if err := checkAddress("mgmt", c.AdminAddr); err != nil {
			return nil, err
		}
	}
	switch {
	case c.Cores < 0:
		return nil, fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return nil, fmt.Errorf("limits.memory_mb: %v is negative", c.MemoryMB)
	case c.MaxDescriptors < 0 || c.MaxDescriptors > 0 && c.MaxDescriptors < minDescriptors:
		return nil, fmt.Errorf("limits.sockets: %v is too few, at least %d are needed", c.MaxDescriptors, minDescriptors)
	case len(parsed.Settings) == 0:
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Site, err = wire.ParseSettings(parsed.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The balancer spreads its polls over parts of this time.
	c.Settings.PollInterval = min(c.Settings.PollInterval, discovery.PropagationDeadline)
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
	if c.Settings.GossipAllowed {
		if err := checkAddress("peer_listen", c.PeerListen); err != nil {
			return nil, err
		}
		if len(c.Peers) != c.Settings.Balancers {
			return nil, fmt.Errorf("peers: %d addresses for %d agents", len(c.Peers), c.Settings.Balancers)
		}
		for i, p := range c.Peers {
			if err := checkAddress(fmt.Sprintf("peers[%d]", i), p); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func checkAddress(field, addr string) error {
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

// halfLimits returns the configuration with half of the limits: for each of two processes of one agent.
func (c *Config) halfLimits() *Config {
	half := *c
	half.MaxDescriptors = cmp.Or(c.MaxDescriptors, defaultDescriptors) / 2
	half.MemoryMB = c.MemoryMB / 2
	return &half
}

// LimitMemory makes the garbage collector run well before the memory limit would kill the process.
func (c *Config) LimitMemory() {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
	}
}

// shareableDescriptors returns the descriptors that are shared out after the admin listener has its own.
func (c *Config) shareableDescriptors() int {
	limit := cmp.Or(c.MaxDescriptors, defaultDescriptors)
	if c.AdminAddr != "" {
		limit -= maxAdminConns + 1
	}
	return limit
}

// maxDeadline returns the longest deadline of any request class.
func (c *Config) maxDeadline() time.Duration {
	var d time.Duration
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}
