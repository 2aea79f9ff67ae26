package config

import (
	"net/netip"
)

// addressKey is a key that holds an IP address and port.
type addressKey struct {
	key, value string
	required   bool
}

func seedKeys(key string, seeds []string) (keys []addressKey) {
	for _, s := range seeds {
		keys = append(keys, addressKey{key, s, true})
	}
	return keys
}

func (a addressKey) check(errorAt func(key, format string, args ...any) error) error {
	if a.value == "" {
		if a.required {
			return errorAt(a.key, "is needed: an IP address and port, such as \"127.0.0.1:8500\"")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(a.value); err != nil {
		return errorAt(a.key, "%q is no IP address and port, such as \"127.0.0.1:8500\"", a.value)
	}
	return nil
}
