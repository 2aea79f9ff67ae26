package config

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/strictconfig"
)

// MaxSettingsBytes bounds a text of settings, in bytes.
const MaxSettingsBytes = 64 << 10

// Settings are a text for all agents of a fleet: keys that are laid over each agent's own file.
type Settings struct {
	Version int64
	Text    string

	file string         // names it in errors
	keys map[string]any // what it sets
}

// perAgentKeys says of the keys that can't be the same for all agents why not.
var perAgentKeys = []struct{ key, why string }{
	{"name", "each agent has its own"}, {"listen", "each agent has its own"}, {"mgmt", "each agent has its own"},
	{"seed", "each agent has its own"}, {"zone", "each agent has its own"}, {"peers", "each agent has its own place there"},
	{"zones", "the numbers of zones must stay while an agent runs, and its hubs are named by them"},
	{"fleet", "it says how an agent comes by these settings"}, {"settings", "it says how an agent comes by these settings"},
	{"residency", "the policy travels by itself"}, {"limits", "they are the machine's"}, {"attempts.from", "it is the machine's"},
}

// stand is the least that an agent's file says: settings are checked over it where no agent's file is at hand.
const minimalAgentConfig = "discovery = \"127.0.0.1:1\"\n[[class]]\nname = \"any\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n"

// ParseSettings reads settings, and checks what can be checked without an agent's file. file names them in errors.
func ParseSettings(file, text string) (*Settings, error) {
	if len(text) > MaxSettingsBytes {
		return nil, fmt.Errorf("%s: %d bytes, at most %d", file, len(text), MaxSettingsBytes)
	}
	s := &Settings{Text: text, file: file}
	if _, err := toml.Decode(text, &s.keys); err == nil { // else it is told below, with its line
		for _, k := range perAgentKeys {
			if s.sets(k.key) {
				return nil, s.errorAt(k.key, "is not for settings of all agents: %s", k.why)
			}
		}
	}
	if _, err := parseWithSettings("", minimalAgentConfig, s); err != nil {
		return nil, err
	}
	if s.Version < 1 {
		return nil, s.errorAt("version", "%d is not a number from 1: each change has a higher one", s.Version)
	}
	return s, nil
}

// overlayOn sets in c what the text sets. Its classes replace the agent's as a whole: decoded in place, one would keep what the
// text leaves out.
func (s *Settings) overlayOn(cfg *Config) error {
	if s.sets("class") {
		cfg.Classes = nil
	}
	target := struct {
		*Config
		Version int64 `toml:"version"`
	}{Config: cfg}
	err := strictconfig.Decode(s.file, s.Text, &target)
	s.Version = target.Version
	return err
}

// sets says whether a key, as it stands in errors, is the text's own. Of classes all keys are, or none.
func (s *Settings) sets(key string) bool {
	if strings.HasPrefix(key, "class") {
		key = "class"
	}
	table := s.keys
	for rest, more := key, true; more; {
		var name string
		name, rest, more = strings.Cut(rest, ".")
		var child map[string]any
		found := false
		for decoded, v := range table {
			if strings.EqualFold(decoded, name) { // as they are decoded
				child, _ = v.(map[string]any)
				found = true
			}
		}
		if !found {
			return false
		}
		table = child
	}
	return true
}

// errorAt names the line of the key, or of the table that it stands in or is missing from.
func (s *Settings) errorAt(key, format string, args ...any) error {
	located := &strictconfig.Error{File: s.file, Key: key, Message: fmt.Sprintf(format, args...)}
	for at := key; at != "" && located.Line == 0; {
		located.Line = strictconfig.LineOf(s.Text, at)
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	return located
}
