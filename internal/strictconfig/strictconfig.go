// Package strictconfig reads TOML files and says what is wrong with one in a line that names file, line and key.
package strictconfig

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

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
