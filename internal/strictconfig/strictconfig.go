// Package strictconfig reads TOML files and says what is wrong with one in a line that names file, line and key.
package strictconfig

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Error is what is wrong with a file.
type Error struct {
	File    string
	Line    int    // 0: the file as a whole
	Key     string // dotted; a table of an array counts from 0, as in fault[2].at
	Message string
}

func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return location + ": " + e.Message
}

// Decode reads text into v. An unknown key is an error.
func Decode(file, text string, v any) error {
	meta, err := toml.Decode(text, v)
	var parseErr toml.ParseError
	switch {
	case errors.As(err, &parseErr):
		return &Error{file, parseErr.Position.Line, parseErr.LastKey, parseErr.Message}
	case err != nil: // a value of the wrong type: the library names the key in its text
		msg := strings.TrimPrefix(err.Error(), "toml: ")
		key := firstQuoted(msg)
		if _, rest, hasPosition := strings.Cut(msg, "): "); hasPosition && strings.HasPrefix(msg, "line ") { // it leads with the place
			msg = rest
		}
		return &Error{file, LineOf(text, key), key, msg}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return &Error{file, LineOf(text, key), key, "unknown key"}
	}
	return nil
}

// firstQuoted is the first key in quotation marks of a message.
func firstQuoted(s string) string {
	_, s, _ = strings.Cut(s, `"`)
	key, _, _ := strings.Cut(s, `"`)
	return key
}

// ErrorAt is an error about a key that was read well but holds what can't be.
func ErrorAt(file, text, key, format string, args ...any) error {
	return &Error{file, LineOf(text, key), key, fmt.Sprintf(format, args...)}
}

// LineOf is the line on which a dotted key stands; 0: on none. Where arrays of tables are not counted in the
// key, the first that has it.
func LineOf(text, key string) int {
	counts := map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "["))
			table = fmt.Sprintf("%s[%d].", name, counts[name])
			counts[name]++
		case strings.HasPrefix(line, "["):
			table = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "[")) + "."
		}
		name, _, assigned := strings.Cut(line, "=")
		if full := table + strings.TrimSpace(name); assigned && (full == key || withoutIndexes(full) == key) ||
			strings.TrimSuffix(table, ".") == key || withoutIndexes(strings.TrimSuffix(table, ".")) == key && key != "" {
			return i + 1
		}
	}
	return 0
}

// withoutIndexes drops the counts of tables in arrays.
func withoutIndexes(key string) string {
	var b strings.Builder
	depth := 0
	for _, r := range key {
		switch {
		case r == '[':
			depth++
		case r == ']':
			depth--
		case depth == 0:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// Duration is a span written as in "1.5s" or "250ms".
type Duration time.Duration

func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a span such as \"250ms\" or \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration is the span.
func (d Duration) Duration() time.Duration { return time.Duration(d) }
