package scenario

// Sets of processes, as a schedule names them.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"martenbeam/internal/lab/netfault"
)

// Set names parties: a kind, and what narrows it.
type Set struct {
	Kind    string // agents, hubs, backends, clients, discovery, zone
	Zones   []int  // of these zones; empty: any
	Numbers []int  // these; empty: any
	Share   float64
}

// ParseSet reads a set, such as "agents", "backends zone=1,2", "agents n=0,3" or "backends share=0.125".
func ParseSet(text string) (s Set, err error) {
	words := strings.Fields(text)
	if len(words) == 0 || !slices.Contains([]string{"agents", "hubs", "backends", "clients", "discovery", "zone"}, words[0]) {
		return s, fmt.Errorf("%q is none of agents, hubs, backends, clients, discovery, zone", text)
	}
	s.Kind, s.Share = words[0], 1
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "zone", "n":
			var list []int
			for _, v := range strings.Split(value, ",") {
				n, err := strconv.Atoi(v)
				if err != nil || n < 0 {
					return s, fmt.Errorf("%q: %q is not a number from 0", text, v)
				}
				list = append(list, n)
			}
			if name == "zone" {
				s.Zones = list
			} else {
				s.Numbers = list
			}
		case "share":
			if s.Share, err = strconv.ParseFloat(value, 64); err != nil || !(s.Share >= 0 && s.Share <= 1) {
				return s, fmt.Errorf("%q: %q is not a share from 0 to 1", text, value)
			}
		default:
			return s, fmt.Errorf("%q: %q is none of zone=, n=, share=", text, w)
		}
	}
	return s, nil
}

// Role is the party of a link that a set speaks of.
func (s Set) Role() netfault.Role {
	return map[string]netfault.Role{"agents": netfault.Agent, "hubs": netfault.Hub, "backends": netfault.Backend, "clients": netfault.Client, "discovery": netfault.Discovery}[s.Kind]
}

// Contains reports whether a party of a zone is in the set, Share aside.
func (s Set) Contains(n, zone int) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) && (len(s.Numbers) == 0 || slices.Contains(s.Numbers, n))
}
