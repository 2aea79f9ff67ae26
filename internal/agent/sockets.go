package agent

// The file descriptors of the process are shared out here: a fixed part for its own files,
// discovery and peers, one for the operators' calls, and the rest to clients and backends. Each client connection carries one
// request at a time, and a request seldom has more than one attempt out, so the parts are equal.
// A tenth is left to clients past their part, which are refused and sent away.
const (
	minDescriptors       = 64
	reservedDescriptors  = 24
	defaultDescriptors   = 1024
	minSharedDescriptors = 8  // even where two processes share a small limit
	maxAdminConns        = 12 // calls of operators at once, where they have a door
)

func sharedDescriptors(limit int) int {
	if limit == 0 {
		limit = defaultDescriptors
	}
	return max(minSharedDescriptors, limit-reservedDescriptors)
}

// maxClientConns is how many client connections are kept and requests held.
func maxClientConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxUpstreamConns is how many connections to backends are open at once.
func maxUpstreamConns(limit int) int { return sharedDescriptors(limit) * 45 / 100 }

// maxAcceptedConns is how many client connections are accepted at once.
func maxAcceptedConns(limit int) int { return sharedDescriptors(limit) - maxUpstreamConns(limit) }
