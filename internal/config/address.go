package config

import "net/netip"

// addressKey is a key that holds an IP address and port.
type addressKey struct {
	key, value string
	needed     bool
}

func seedKeys(key string, seeds []string) (list []addressKey) {
	for _, s := range seeds {
		list = append(list, addressKey{key, s, true})
	}
	return list
}

func (a addressKey) check(wrong func(key, format string, args ...any) error) error {
	if a.value == "" {
		if a.needed {
			return wrong(a.key, "is needed: an IP address and port, such as \"127.0.0.1:8500\"")
		}
		return nil
	}
	if _, err := netip.ParseAddrPort(a.value); err != nil {
		return wrong(a.key, "%q is no IP address and port, such as \"127.0.0.1:8500\"", a.value)
	}
	return nil
}
