// Package source defines the interface between the watcher of the endpoint list and the fleet. The fleet selects where and
// when the watcher may request the list, and the watcher records the outcome of each request. The package keeps no state;
// the packages fleet and hubclient implement Selector for agents with a fleet, and package membership for agents without
// one.
package source

import (
	"context"
	"net"
	"time"
)

// Source is a relay or the list service, from which the endpoint list may be requested.
type Source struct {
	Addr           string        // of a relay, as host:port; "": the list service itself
	SilenceTimeout time.Duration // the source counts as failed when nothing arrives for this time; 0: the watcher's default
	Relayed        bool          // Addr is a relay
}

// Selector selects the sources of the endpoint list. Its methods may be called from any goroutine; only Next and Dial
// block.
type Selector interface {
	// Next waits until a request may be made, and returns its source. It returns false if ctx ends first. failures is the
	// number of requests in a row that failed.
	Next(ctx context.Context, failures int) (Source, bool)
	// Dial opens a connection to a relay.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// RecordAttempt records the outcome of a request to s: the delay until the first message arrived, or that the request
	// failed. version is the version of the list at this process afterwards.
	RecordAttempt(s Source, delay time.Duration, failed bool, version int64)
	// RecordLiveness records that something arrived from s.
	RecordLiveness(s Source)
	// RecordUpdate records an applied message from s: the change between two versions, nil if the message contained
	// the complete list, and the complete list as of version to.
	RecordUpdate(s Source, from, to int64, change, complete []byte)
	// Lagging reports whether others have published a version of the list later than version.
	Lagging(version int64) bool
}
