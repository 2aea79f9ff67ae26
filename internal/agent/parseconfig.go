package agent

// Parses and checks a configuration.

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/wire"
)

// configText is a configuration in the platform's format.
type configText struct {
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

// parseConfig returns the configuration described by raw and the PROXY_ variables. An error names the field that is wrong.
func parseConfig(raw []byte, getenv func(string) string) (*Config, error) {
	var parsed configText
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, err
	}
	c := &Config{Name: parsed.Name, Listen: parsed.Listen, Discovery: parsed.Discovery, AdminAddr: parsed.Mgmt,
		Cores: parsed.Limits.Cores, MemoryMB: parsed.Limits.MemoryMB, MaxDescriptors: parsed.Limits.Sockets,
		DialFrom: parsed.DialFrom, PeerListen: parsed.PeerListen, Peers: parsed.Peers, CachedEndpoints: parsed.Known}
	c.applyEnvironment(getenv)
	var err error
	if c.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of up to 16 digits", parsed.Seed)
	}
	if err := c.checkAddresses(getenv); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	if len(parsed.Settings) == 0 {
		return nil, errors.New("settings: is required")
	}
	if c.Settings, c.Site, err = wire.ParseSettings(parsed.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The balancer waits for fractions of PollInterval between polls, so this cap bounds these waits too.
	c.Settings.PollInterval = min(c.Settings.PollInterval, discovery.PropagationDeadline)
	if err := c.checkSettings(); err != nil {
		return nil, err
	}
	if err := c.checkPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// applyEnvironment replaces the fields whose PROXY_ variables are set.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for name, field := range map[string]*string{
		"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery,
		"PROXY_MGMT": &c.AdminAddr} {
		// In a hot restart the platform starts the new process with the variables of the first one. If discovery has
		// moved since, only the configuration file has the new address.
		if name == "PROXY_DISCOVERY" && getenv("PROXY_FD") != "" && *field != "" {
			continue
		}
		if v := getenv(name); v != "" {
			*field = v
		}
	}
}

// checkAddresses checks the addresses. If PROXY_FD is set, it also sets ListenFD and HandoverDir.
func (c *Config) checkAddresses(getenv func(string) string) error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if text := getenv("PROXY_FD"); text != "" {
		var err error
		if c.ListenFD, err = strconv.Atoi(text); err != nil || c.ListenFD < 3 {
			return fmt.Errorf("PROXY_FD: %q is not an inherited file descriptor (a number from 3 on)", text)
		}
		c.HandoverDir = cmp.Or(getenv("TMPDIR"), os.TempDir())
	}
	if c.DialFrom != "" && net.ParseIP(c.DialFrom) == nil {
		return fmt.Errorf("dial_from: %q is not an IP address", c.DialFrom)
	}
	if c.AdminAddr != "" {
		return checkAddress("mgmt", c.AdminAddr)
	}
	return nil
}

// checkLimits checks the limits of the process. A limit of 0 means no limit or the default.
func (c *Config) checkLimits() error {
	switch {
	case c.Cores < 0:
		return fmt.Errorf("limits.cores: %v is negative", c.Cores)
	case c.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %v is negative", c.MemoryMB)
	case c.MaxDescriptors < 0 || c.MaxDescriptors > 0 && c.MaxDescriptors < minDescriptors:
		return fmt.Errorf("limits.sockets: %v is below the minimum of %d", c.MaxDescriptors, minDescriptors)
	}
	return nil
}

// checkSettings checks the settings that an agent needs and wire.ParseSettings does not check.
func (c *Config) checkSettings() error {
	for i, name := range c.Site.Classes {
		if name == "" {
			return fmt.Errorf("settings: Profiles[%d].Name: is required", i)
		}
	}
	if c.Settings.ConnectTimeout <= 0 {
		return errors.New("settings: PolicyLimits.ConnectTimeoutMs: must be positive")
	}
	if c.Site.IdleClose <= 0 {
		return errors.New("settings: PolicyLimits.IdleCloseMs: must be positive")
	}
	return nil
}

// checkPeers checks the addresses of the other agents if the settings allow gossip.
func (c *Config) checkPeers() error {
	if !c.Settings.GossipAllowed {
		return nil
	}
	if err := checkAddress("peer_listen", c.PeerListen); err != nil {
		return err
	}
	if len(c.Peers) != c.Settings.Balancers {
		return fmt.Errorf("peers: %d addresses for %d agents", len(c.Peers), c.Settings.Balancers)
	}
	for i, p := range c.Peers {
		if err := checkAddress(fmt.Sprintf("peers[%d]", i), p); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress checks that addr is an IP address with a port. An error names the field.
func checkAddress(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: is required", field)
	}
	host, _, err := net.SplitHostPort(addr)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address (host names are not resolved)", host)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}
