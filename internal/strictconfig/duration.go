package strictconfig

import (
	"fmt"
	"time"
)

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
