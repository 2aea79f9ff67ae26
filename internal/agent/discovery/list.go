// Package discovery follows the list of backends: a stream of JSON values over HTTP, of which each connection is
// one task (watch.go), watched over by one supervisor that alone posts (follow.go).
package discovery

import (
	"errors"
	"maps"
	"slices"
)

// EndpointList is a list of backends, or what has changed of it, as discovery writes it.
type EndpointList struct {
	Version   int64      `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"started_ms"` // Unix time; 0: long ago
}

var errNoEndpoints = errors.New("a value that names no servers")

// endpointSet is the list as told by now.
type endpointSet map[string]Endpoint

// merge takes m in.
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

func (s endpointSet) list(version int64) *EndpointList {
	list := &EndpointList{Version: version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(s)) {
		list.Endpoints = append(list.Endpoints, s[id])
	}
	return list
}
