package config

// Keys that hold an IP address and port.

import "net/netip"

// errorAtFunc returns an error that names a key.
type errorAtFunc func(key, format string, args ...any) error

// addressKey is a key that holds an IP address and port.
type addressKey struct {
	key, value string
	required   bool // whether an empty value is an error
}

// seedKeys returns a required address for each seed.
func seedKeys(key string, seeds []string) (keys []addressKey) {
	for _, seed := range seeds {
		keys = append(keys, addressKey{key, seed, true})
	}
	return keys
}

func checkAddresses(addresses []addressKey, errorAt errorAtFunc) error {
	for _, address := range addresses {
		if err := address.check(errorAt); err != nil {
			return err
		}
	}
	return nil
}

func (a addressKey) check(errorAt errorAtFunc) error {
	if a.value == "" {
		if a.required {
			return errorAt(a.key, "is required: an IP address and port, such as \"127.0.0.1:8500\"")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(a.value); err != nil {
		return errorAt(a.key, "%q is not an IP address and port, such as \"127.0.0.1:8500\"", a.value)
	}
	return nil
}
