package discovery

// This file is discovery's endpoint list: its JSON form, and the complete list as changes add up to it.

import (
	"errors"
	"maps"
	"slices"
)

// EndpointList is a message of discovery: the complete list of backends, or what changed since the version before. The
// JSON form is discovery's own, and the form in which lists are recorded and handed on.
type EndpointList struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"` // complete; else a change
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // one of the keys of backendStates
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"started_ms"` // of its process, Unix time in ms by its machine's wall clock; 0: long ago
}

// errNoEndpoints rejects a JSON value that is not a list.
var errNoEndpoints = errors.New("value without servers")

// endpointSet is a complete list, by id. Its zero value knows nothing yet.
type endpointSet map[string]Endpoint

// merge applies a list: in place of all that was known if it is complete, else as a change.
func (s *endpointSet) merge(list *EndpointList, complete bool) {
	if complete || *s == nil {
		*s = endpointSet{}
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == "gone" {
			delete(*s, endpoint.ID)
		} else {
			(*s)[endpoint.ID] = endpoint
		}
	}
}

// list returns the set as a complete list, ordered by id.
func (s endpointSet) list(version int64) *EndpointList {
	list := &EndpointList{Version: version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(s)) {
		list.Endpoints = append(list.Endpoints, s[id])
	}
	return list
}
