package config

// The zones of a site and their regions.

import (
	"fmt"
	"maps"
	"slices"
)

// Zones are the zones of a site. The key zones has either a list of names, without regions, or a table from names to regions.
type Zones struct {
	Names   []string // sorted if the key is a table
	Regions []string // of each zone; nil: no zone has a region

	invalidKey, reason string // an error that UnmarshalTOML found; check reports it with its line
}

// UnmarshalTOML decodes either form. It never fails: the check of the whole configuration reports invalid data.
func (z *Zones) UnmarshalTOML(data any) error {
	*z = Zones{}
	switch data := data.(type) {
	case []any:
		for _, item := range data {
			name, ok := item.(string)
			if !ok {
				z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is not a name", item)
			}
			z.Names = append(z.Names, name)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(data)) {
			region, ok := data[name].(string)
			if !ok {
				z.invalidKey, z.reason = "zones."+name, fmt.Sprintf("%v is not the name of a region", data[name])
			}
			z.Names, z.Regions = append(z.Names, name), append(z.Regions, region)
		}
	default:
		z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is neither a list of names nor a table that maps names to regions", data)
	}
	return nil
}

// regionIDs returns the region of each zone, as the number of the first zone in it; nil if no zone has a region.
func (z *Zones) regionIDs() (ids []int) {
	for _, region := range z.Regions {
		ids = append(ids, slices.Index(z.Regions, region))
	}
	return ids
}
