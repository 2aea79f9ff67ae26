package agent

import (
	"martenbeam/balancer"
)

// The events that are posted to the event loop, besides discovery.Update and the balancer's own events.
type (
	requestArrived     struct{ *request }
	clientDisconnected struct{ *request } // the client closed, reset or cancelled
	deadlineExceeded   struct{ *request } // the deadline and half of the grace are over without a reply
	bodyComplete       struct{ *request } // a streamed body has arrived to its last byte
	responseStarted    struct {           // the first bytes of an attempt's streaming response have arrived
		*request
		attempt  int
		response *response
	}
	attemptEnded struct { // the attempt has its result
		*request
		outcome  balancer.Outcome
		response *response
	}
)
