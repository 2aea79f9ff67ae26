package strictconfig

// Spans of time in configuration files.

import (
	"fmt"
	"time"
)

// Duration is a span of time that a file gives as a string, such as "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText reads a span in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a span such as \"250ms\" or \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the span in the form of time.Duration's String, which UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration returns the span as the standard library's type.
func (d Duration) Duration() time.Duration { return time.Duration(d) }
