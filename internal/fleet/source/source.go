// Package source defines how the watcher of the endpoint list and the fleet meet: the fleet selects where and when
// the list may be requested, and learns how the requests went. It keeps no state; the packages fleet and hubclient
// implement Selector for agents with a fleet, and package membership for agents without one.
package source

import (
	"context"
	"net"
	"time"
)

// Source is where the endpoint list may be requested.
type Source struct {
	Addr           string        // of a relay, as host:port; "": the list service itself
	SilenceTimeout time.Duration // the source counts as failed when nothing arrives for so long; 0: the watcher's default
	Relayed        bool          // Addr is a relay
}

// Selector selects the sources of the endpoint list. Its methods may be called from any goroutine; only Next and Dial
// block.
type Selector interface {
	// Next waits until a request may be made, and returns where. It returns false once ctx ends. failures is the
	// number of requests in a row that failed.
	Next(ctx context.Context, failures int) (Source, bool)
	// Dial opens a connection to a relay.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// RecordAttempt records how a request to s went: after which delay the first message arrived, or that the request
	// failed. version is that of the list known here afterwards.
	RecordAttempt(s Source, delay time.Duration, failed bool, version int64)
	// RecordLiveness records that something arrived from s.
	RecordLiveness(s Source)
	// RecordUpdate records a message of s that was applied: the change between two versions, nil if the message held
	// the complete list, and the complete list as of version to.
	RecordUpdate(s Source, from, to int64, change, complete []byte)
	// Lagging reports whether others have published a version of the list later than version.
	Lagging(version int64) bool
}
