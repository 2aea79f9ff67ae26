// Package source is what stands between an agent that follows a list and the fleet that says where it may ask for it.
package source

import (
	"context"
	"net"
	"time"
)

// Source is where a list may be asked for.
type Source struct {
	Addr           string        // of a relay; "": the list service itself
	SilenceTimeout time.Duration // after which it counts as dead; 0: as usual
	Relayed        bool
}

// Selector say where and when a list may be asked for. Their methods may be called from any task.
type Selector interface {
	// Next waits until it may be, and reports false once ctx ends. fails counts openings that came to nothing.
	Next(ctx context.Context, fails int) (Source, bool)
	// Dial opens a connection to a relay.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// Answered takes how an opening went: after how long the first word came, or that none did, and from which version on.
	RecordAttempt(s Source, waited time.Duration, failed bool, version int64)
	// Heard takes a sign of life.
	RecordLiveness(s Source)
	// Listed takes a message: what changed from a version to another, nil where all was told, and the list as it stands now.
	RecordUpdate(s Source, from, to int64, change, whole []byte)
	// Behind reports whether others have told of a later version than this one.
	Lagging(version int64) bool
}
