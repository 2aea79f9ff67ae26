package scenario

// Sets of processes in a schedule of faults.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"martenbeam/internal/lab/netfault"
)

// Set selects processes of one kind.
type Set struct {
	Kind    string  // an element of setKinds
	Zones   []int   // zones of the processes; empty: any
	Numbers []int   // numbers of the processes; empty: all
	Share   float64 // share of the processes in Zones with Numbers, drawn at random; 1: all
}

// setKinds are the kinds of processes that a set may select.
var setKinds = []string{"agents", "hubs", "backends", "clients", "discovery", "zone"}

// ParseSet reads a set, such as "agents", "backends zone=1,2", "agents n=0,3" or "backends share=0.125". Numbers count from 0.
func ParseSet(text string) (s Set, err error) {
	words := strings.Fields(text)
	if len(words) == 0 || !slices.Contains(setKinds, words[0]) {
		return s, fmt.Errorf("%q does not begin with one of %s", text, strings.Join(setKinds, ", "))
	}
	s.Kind, s.Share = words[0], 1
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "zone":
			s.Zones, err = parseNumbers(text, value)
		case "n":
			s.Numbers, err = parseNumbers(text, value)
		case "share":
			if s.Share, err = strconv.ParseFloat(value, 64); err != nil || !(s.Share >= 0 && s.Share <= 1) {
				err = fmt.Errorf("%q: %q is not a share from 0 to 1", text, value)
			}
		default:
			err = fmt.Errorf("%q: %q is not one of zone=, n=, share=", text, word)
		}
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// parseNumbers reads the list of numbers in a set. text is the complete set, which errors contain.
func parseNumbers(text, list string) (numbers []int, err error) {
	for _, word := range strings.Split(list, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%q: %q is not a whole number of at least 0", text, word)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}

// Role returns the role of the processes of a set. The result is undefined for a zone.
func (s Set) Role() netfault.Role {
	return map[string]netfault.Role{
		"agents":    netfault.Agent,
		"hubs":      netfault.Hub,
		"backends":  netfault.Backend,
		"clients":   netfault.Client,
		"discovery": netfault.Discovery,
	}[s.Kind]
}

// Contains reports whether the set contains the process with the number n in a zone. The caller applies Share.
func (s Set) Contains(n, zone int) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) && (len(s.Numbers) == 0 || slices.Contains(s.Numbers, n))
}
