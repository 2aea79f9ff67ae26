// Package strictconfig decodes TOML files strictly: an unknown key is an error, and each error names file, line and key.
//
// The package has no state. The caller owns the text and the decoded value.
package strictconfig

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error is an error in a configuration file. Decode and ErrorAt return it as *Error, for errors.As.
type Error struct {
	File    string
	Line    int    // from 1; 0: the key is not in the file, or the error concerns the file as a whole
	Key     string // dotted; elements of an array of tables are numbered from 0, as in fault[2].at
	Message string
}

// Error returns a one-line message such as "agent.toml:3: attempts.most: 21 is not between 1 and 20".
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

// ErrorAt returns the *Error for a key whose value could be decoded but is not allowed. text is the file's content, in
// which the line is looked up.
func ErrorAt(file, text, key, format string, args ...any) error {
	return &Error{file, LineOf(text, key), key, fmt.Sprintf(format, args...)}
}

// Decode decodes a TOML text into v, a pointer to a struct. file names the text in errors. Keys that the text omits keep
// their values in v. All errors are of type *Error. An unknown key is an error; the first one is reported.
func Decode(file, text string, v any) error {
	meta, err := toml.Decode(text, v)
	var parseErr toml.ParseError
	switch {
	case errors.As(err, &parseErr):
		return &Error{file, parseErr.Position.Line, parseErr.LastKey, parseErr.Message}
	case err != nil: // a value of the wrong type: the library gives the key only in its message
		msg := strings.TrimPrefix(err.Error(), "toml: ")
		key := firstQuoted(msg)
		if _, rest, hasPosition := strings.Cut(msg, "): "); hasPosition && strings.HasPrefix(msg, "line ") {
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

// firstQuoted returns the first part of a message that is in quotation marks.
func firstQuoted(s string) string {
	_, s, _ = strings.Cut(s, `"`)
	key, _, _ := strings.Cut(s, `"`)
	return key
}
