package discovery

// This file defines discovery's endpoint list: its JSON form, and the complete list that results from merged changes.

import (
	"errors"
	"maps"
	"slices"
)

// EndpointList is a message of discovery: the complete list of backends, or the changes since the previous version.
// Discovery defines the JSON form, and lists are recorded and forwarded in the same form.
type EndpointList struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"` // the list is complete; false: it holds changes only
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"` // host:port
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"` // one of the keys of backendStates
	Weight float64 `json:"weight"`
	// StartedAt is the start of the backend's process, Unix time in ms by the wall clock of the backend's machine; 0: long
	// ago, or unknown.
	StartedAt int64 `json:"started_ms"`
}

// errNoEndpoints is the error for a JSON value that is not a list.
var errNoEndpoints = errors.New("JSON value has no servers array")

// endpointSet is a complete list, by id. The zero value is an empty list.
type endpointSet map[string]Endpoint

// merge applies a list. A complete list replaces the set. A list of changes adds or replaces the endpoints that it
// contains. An endpoint whose state is "gone" is deleted.
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

// list returns the set as a complete list of the given version, ordered by id.
func (s endpointSet) list(version int64) *EndpointList {
	list := &EndpointList{Version: version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(s)) {
		list.Endpoints = append(list.Endpoints, s[id])
	}
	return list
}
