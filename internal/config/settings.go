package config

// Settings: a document for all agents of a fleet, which overrides keys of each agent's own file.

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
	{"seed", "each agent has its own"}, {"zone", "each agent has its own"}, {"peers", "each agent has its own index there"},
	{"zones", "zone numbers must not change while an agent runs, and its hubs are listed by zone"},
	{"fleet", "it configures how an agent receives settings"},
	{"settings", "it configures how an agent receives settings"},
	{"residency", "the policy is distributed separately"}, {"limits", "they depend on the machine"}, {"attempts.from", "it depends on the machine"},
}

// minimalAgentConfig is a minimal valid agent file. Settings are checked on top of it if no agent's file is available.
const minimalAgentConfig = `discovery = "127.0.0.1:1"
[[class]]
name = "any"
effect = "safe"
aim = "1s"
deadline = "1s"
`

// ParseSettings parses settings, and checks what can be checked without an agent's file. file names the document in errors.
func ParseSettings(file, text string) (*Settings, error) {
	if len(text) > MaxSettingsBytes {
		return nil, &strictconfig.Error{File: file, Message: fmt.Sprintf("%d bytes, must be at most %d", len(text), MaxSettingsBytes)}
	}
	s := &Settings{Text: text, file: file}
	if _, err := toml.Decode(text, &s.keys); err == nil { // else the strict decoder reports the error below, with its line
		for _, perAgent := range perAgentKeys {
			if s.sets(perAgent.key) {
				return nil, s.errorAt(perAgent.key, "can't be set for all agents: %s", perAgent.reason)
			}
		}
	}
	if _, err := parseWithSettings("", minimalAgentConfig, s); err != nil {
		return nil, err
	}
	if s.Version < 1 {
		return nil, s.errorAt("version", "%d is below 1: the first version is 1, and each change needs a higher one", s.Version)
	}
	return s, nil
}

// overlayOn overrides keys of cfg with those of the document. The document's classes replace the agent's as a whole, because
// decoding into an existing class would keep the keys that the document omits.
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

// sets reports whether the document sets a key, given as in errors, such as attempts.most. A document with classes sets all
// keys of all classes.
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

// errorAt returns a *strictconfig.Error with the line of a key. If the key has no line, the error has the line of the innermost
// enclosing table that has one.
func (s *Settings) errorAt(key, format string, args ...any) error {
	located := &strictconfig.Error{File: s.file, Key: key, Message: fmt.Sprintf(format, args...)}
	for at := key; at != "" && located.Line == 0; {
		located.Line = strictconfig.LineOf(s.Text, at)
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	return located
}
