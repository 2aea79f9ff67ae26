package config

import (
	"fmt"
	"maps"
	"slices"
)

// Zones are the zones there are: a list of names, where each stands alone, or a table from names to regions.
type Zones struct {
	Names   []string // sorted by name if they came as a table
	Regions []string // of each; nil: they stand alone

	invalidKey, reason string // a key that holds what can't be: told by check, which knows its line
}

// UnmarshalTOML reads either form.
func (z *Zones) UnmarshalTOML(data any) error {
	*z = Zones{}
	switch data := data.(type) {
	case []any:
		for _, item := range data {
			name, ok := item.(string)
			if !ok {
				z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is no name", item)
			}
			z.Names = append(z.Names, name)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(data)) {
			region, ok := data[name].(string)
			if !ok {
				z.invalidKey, z.reason = "zones."+name, fmt.Sprintf("%v is no region's name", data[name])
			}
			z.Names, z.Regions = append(z.Names, name), append(z.Regions, region)
		}
	default:
		z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is neither a list of names nor a table from names to regions", data)
	}
	return nil
}

// regionIDs are the regions by the number of the first zone that is in each; nil: zones stand alone.
func (z *Zones) regionIDs() (list []int) {
	for _, region := range z.Regions {
		list = append(list, slices.Index(z.Regions, region))
	}
	return list
}
