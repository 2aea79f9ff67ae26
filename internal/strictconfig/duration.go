package strictconfig

// Durations in configuration files.

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that a file specifies as a string, such as "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration in the form of time.Duration's String, which UnmarshalText accepts.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration returns the duration as the standard library's type.
func (d Duration) Duration() time.Duration { return time.Duration(d) }
