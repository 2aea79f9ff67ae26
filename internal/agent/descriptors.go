package agent

import "martenbeam/internal/agent/membudget"

// The budget of file descriptors has a fixed part for the process's own files, discovery and peers, another for the admin
// listener, and a part that clients and backends share. A client connection carries one request at a time, and a request
// rarely has more than one attempt in flight, so clients and backends get equal shares. The remaining tenth of the shared
// part serves to accept clients beyond their share, in order to reject their requests and disconnect them.
const (
	minDescriptors       = 64   // smallest limit that the configuration may set
	reservedDescriptors  = 24   // for the process's own files, discovery and peers
	defaultDescriptors   = 1024 // limit if the configuration sets none
	minSharedDescriptors = 8    // lower bound, also when two processes share a small limit
	maxAdminConns        = 12   // concurrent admin calls, if there is an admin listener
)

// Bounds on the header of a request or a response, in bytes.
const minHeader, maxHeader = 8 << 10, 32 << 10

// headerShare is the part of the memory budget, as a divisor, that the headers of all client connections may take together.
const headerShare = 4

// maxHeader returns the longest header that a request or a response may have, in bytes, so that the headers of all connections fit
// the memory.
func (c *Config) maxHeader() int {
	conns := int64(maxAcceptedConns(c.shareableDescriptors()))
	return int(max(minHeader, min(maxHeader, membudget.Size(c.memoryBytes())/headerShare/conns)))
}

// sharedDescriptors returns how many of limit descriptors clients and backends share. A limit of 0 means defaultDescriptors.
func sharedDescriptors(limit int) int {
	if limit == 0 {
		limit = defaultDescriptors
	}
	return max(minSharedDescriptors, limit-reservedDescriptors)
}

// maxClientConns returns how many client connections the agent keeps open, and how many requests may be open.
func maxClientConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxUpstreamConns returns how many connections to backends may be open.
func maxUpstreamConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxAcceptedConns returns how many accepted client connections may be open at once.
func maxAcceptedConns(limit int) int { return sharedDescriptors(limit) - maxUpstreamConns(limit) }
