package main

// Discovery: the whole list, and watches with an empty line every 2 s.

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// server is one entry of the list.
type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// serverList is a list as discovery sends it.
type serverList struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// startDiscovery serves one list, which does not change, and returns its address.
func startDiscovery(servers []server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	list, err := json.Marshal(serverList{Version: 41, Full: true, Servers: servers})
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/catalog/members" {
			http.NotFound(w, request)
			return
		}
		follow := request.URL.Query().Get("follow") != ""
		if !follow || request.URL.Query().Get("since") != "41" {
			fmt.Fprintf(w, "%s\n", list)
		}
		for follow {
			w.(http.Flusher).Flush()
			select {
			case <-request.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
			fmt.Fprintln(w)
		}
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	return listener.Addr().String(), nil
}
