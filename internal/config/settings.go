package config

// Settings: a document for all agents of a fleet, laid over each agent's own file.

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"

	"martenbeam/internal/strictconfig"
)

// MaxSettingsBytes is the maximum size of a settings document.
const MaxSettingsBytes = 64 << 10

// Settings is a parsed settings document: a version, and keys of an agent's configuration.
type Settings struct {
	Version int64 // from 1
	Text    string

	file string         // names the document in errors
	keys map[string]any // as decoded without a schema
}

// perAgentKeys are the keys that settings must not set, with the reason.
var perAgentKeys = []struct{ key, reason string }{
	{"name", "each agent has its own"}, {"listen", "each agent has its own"}, {"mgmt", "each agent has its own"},
	{"seed", "each agent has its own"}, {"zone", "each agent has its own"}, {"peers", "each agent has its own place there"},
	{"zones", "the numbers of zones must stay while an agent runs, and its hubs are named by them"},
	{"fleet", "it says how an agent comes by these settings"}, {"settings", "it says how an agent comes by these settings"},
	{"residency", "the policy travels by itself"}, {"limits", "they are the machine's"}, {"attempts.from", "it is the machine's"},
}

// minimalAgentConfig is the smallest usable agent's file. Settings are checked over it where no agent's file is at hand.
const minimalAgentConfig = `discovery = "127.0.0.1:1"
[[class]]
name = "any"
effect = "safe"
aim = "1s"
deadline = "1s"
`

// ParseSettings parses settings, and checks what can be checked without an agent's file. file names them in errors.
func ParseSettings(file, text string) (*Settings, error) {
	if len(text) > MaxSettingsBytes {
		return nil, &strictconfig.Error{File: file, Message: fmt.Sprintf("%d bytes, at most %d", len(text), MaxSettingsBytes)}
	}
	s := &Settings{Text: text, file: file}
	if _, err := toml.Decode(text, &s.keys); err == nil { // else the strict decoder reports the error below, with its line
		for _, perAgent := range perAgentKeys {
			if s.sets(perAgent.key) {
				return nil, s.errorAt(perAgent.key, "is not for settings of all agents: %s", perAgent.reason)
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

// overlayOn sets in cfg the keys of the document. Its classes replace the agent's as a whole: decoded in place, a class would
// keep the keys that the document leaves out.
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

// sets reports whether the document sets a key, given as in errors. Of the classes it sets all keys or none.
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
			if strings.EqualFold(decoded, name) { // the decoder ignores case too
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

// errorAt returns an *strictconfig.Error at the line of a key, or else of the innermost table around it that has a line.
func (s *Settings) errorAt(key, format string, args ...any) error {
	located := &strictconfig.Error{File: s.file, Key: key, Message: fmt.Sprintf(format, args...)}
	for at := key; at != "" && located.Line == 0; {
		located.Line = strictconfig.LineOf(s.Text, at)
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	return located
}
