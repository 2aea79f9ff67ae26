package main

// The stand-in for discovery: the whole list, and a watch that stays open.

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a backend in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is a message of discovery.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the stand-in for discovery.
type discovery struct {
	run     *run
	address string
	server  *http.Server

	mu      sync.Mutex
	version int64
	entries []entry
	changed chan struct{}
}

// startDiscovery starts discovery with a list.
func (r *run) startDiscovery(entries []entry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{run: r, address: listener.Addr().String(), version: 1, entries: entries, changed: make(chan struct{})}
	d.serve(listener)
	return d, nil
}

// serve answers the callers of a listener.
func (d *discovery) serve(listener net.Listener) {
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }() // ends with stop, or with the program
}

// stop closes the listener and all connections, as the end of the process does.
func (d *discovery) stop() { d.server.Close() }

// restart listens again at the same address.
func (d *discovery) restart() error {
	listener, err := net.Listen("tcp", d.address)
	if err == nil {
		d.serve(listener)
	}
	return err
}

// change changes the list, and sends it to all watches.
func (d *discovery) change(f func([]entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append([]entry{}, d.entries...)
	f(d.entries)
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// addr returns the address of discovery.
func (d *discovery) addr() string { return d.address }

// current returns the whole list. The caller holds mu.
func (d *discovery) current() list {
	return list{d.version, true, append([]entry{}, d.entries...)}
}

// ServeHTTP answers a call for the list, or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/catalog/members" {
		http.NotFound(w, req)
		return
	}
	d.run.note("discovery is asked: %s", req.URL.RawQuery)
	d.mu.Lock()
	sent, changed := d.current(), d.changed
	d.mu.Unlock()
	encoder := json.NewEncoder(w)
	since, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64) // without a version the whole list is sent
	if since == sent.Version {
		if _, err := w.Write([]byte("\n")); err != nil {
			return
		}
	} else if encoder.Encode(sent) != nil {
		return
	}
	if req.URL.Query().Get("follow") != "1" {
		return
	}
	control := http.NewResponseController(w)
	for control.Flush() == nil {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-changed:
			d.mu.Lock()
			sent, changed = d.current(), d.changed
			d.mu.Unlock()
			if encoder.Encode(sent) != nil {
				return
			}
		}
	}
}
