package agent

// The descriptor budget: a fixed part for the process's own files, discovery and peers, one for the admin listener, and the
// rest shared between clients and backends. A client connection carries one request at a time, and a request rarely has
// more than one attempt out, so clients and backends get equal parts. A tenth is left to accept clients beyond their part,
// which are rejected and disconnected.
const (
	minDescriptors       = 64
	reservedDescriptors  = 24
	defaultDescriptors   = 1024
	minSharedDescriptors = 8  // also if two processes share a small limit
	maxAdminConns        = 12 // admin calls at once, if there is an admin listener
)

func sharedDescriptors(limit int) int {
	if limit == 0 {
		limit = defaultDescriptors
	}
	return max(minSharedDescriptors, limit-reservedDescriptors)
}

// maxClientConns returns how many client connections are kept, and how many requests may be open.
func maxClientConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxUpstreamConns returns how many connections to backends may be open.
func maxUpstreamConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxAcceptedConns returns how many client connections may be accepted at once.
func maxAcceptedConns(limit int) int { return sharedDescriptors(limit) - maxUpstreamConns(limit) }
