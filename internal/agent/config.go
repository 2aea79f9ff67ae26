package agent

// An agent's configuration and its source.

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/wire"
)

// Config is an agent's configuration. The agent reads it once, at the start.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of discovery
	AdminAddr       string // address for admin calls; "": none
	ListenFD        int    // descriptor of the listening socket that the platform passes on; 0: none, the agent listens on Listen
	HandoverDir     string // directory through which the processes of one agent hand over state
	Seed            uint64
	Cores           float64
	MemoryMB        int    // memory limit in MiB; 0: none
	MaxDescriptors  int    // file descriptors that the process may have open; 0: defaultDescriptors
	DialFrom        string // local IP address for connections to backends; "": the system chooses
	PeerListen      string
	Peers           []string                // addresses, indexed by agent number
	CachedEndpoints *discovery.EndpointList // last stored endpoint list; may be nil
	Join            JoinFunc                // nil: the agent belongs to no fleet

	Settings balancer.Settings
	Site     wire.Site
}

// Source is the source of a configuration. The agent reads it at the start and again after each SIGHUP.
type Source struct {
	Name   string
	Read   func() ([]byte, error)             // returns the text in the platform's format
	Getenv func(string) string                // PROXY_ variables that are set take precedence over the text
	Join   func(raw []byte) (JoinFunc, error) // returns the function that joins the fleet described in the same text; nil: no fleet
}

// PlatformSource returns the source for an agent of the platform: the file that PROXY_CONFIG names.
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

// Load reads and checks the configuration. An error about its content names the source and the field that is wrong.
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

// ReloadDiscovery reads the configuration again and returns the current address of discovery. It takes the address from the
// text and ignores PROXY_DISCOVERY, which has the address from the start of the process.
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

// halfLimits returns a copy of the configuration with half of the descriptors and of the memory, for each of two processes of
// one agent.
func (c *Config) halfLimits() *Config {
	half := *c
	half.MaxDescriptors = cmp.Or(c.MaxDescriptors, defaultDescriptors) / 2
	half.MemoryMB = (c.MemoryMB + 1) / 2 // never 0, which means no limit
	return &half
}

// sharedDir returns the folder that the processes of the agent share; "": none, no process replaces this one.
func (c *Config) sharedDir() string {
	if c.ListenFD > 0 {
		return c.HandoverDir
	}
	return ""
}

// memoryBytes returns the memory limit in bytes; 0: none.
func (c *Config) memoryBytes() int64 { return int64(c.MemoryMB) << 20 }

// Garbage that the collector leaves, in percent of what is in use. A small heap is collected rarely, while it is well below the
// memory limit; two processes that share the limit leave less.
const collectRarely, collectOften = 400, 100

// LimitMemory makes the garbage collector keep the process well below the memory limit, if it can, and leave garbagePercent of
// garbage until then. At the limit itself the process would be killed.
func (c *Config) LimitMemory(garbagePercent int) {
	debug.SetGCPercent(garbagePercent)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(membudget.HeapLimit(c.memoryBytes()))
	}
}

// shareableDescriptors returns the number of file descriptors without those reserved for the admin listener.
func (c *Config) shareableDescriptors() int {
	limit := cmp.Or(c.MaxDescriptors, defaultDescriptors)
	if c.AdminAddr != "" {
		limit -= maxAdminConns + 1
	}
	return limit
}

// poolConfig returns the configuration of the pool of connections to backends.
func (c *Config) poolConfig() upstream.Config {
	return upstream.Config{MaxConns: maxUpstreamConns(c.shareableDescriptors()), Memory: c.memoryBytes(), MaxHeader: c.maxHeader(),
		DialFrom: c.DialFrom, ConnectTimeout: c.Settings.ConnectTimeout, IdleClose: c.Site.IdleClose, LoadInline: c.Site.LoadInline,
		LoadProbed: c.Site.LoadProbed}
}

// minDeadline returns the shortest deadline of any request class.
func (c *Config) minDeadline() time.Duration {
	d := c.maxDeadline()
	for _, class := range c.Settings.Classes {
		d = min(d, class.Deadline)
	}
	return d
}

// maxDeadline returns the longest deadline of any request class.
func (c *Config) maxDeadline() time.Duration {
	var d time.Duration
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}
