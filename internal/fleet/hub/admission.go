// This file limits the rate at which agents attach, and tracks the connections that are still in a handshake.

package hub

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admission is a token bucket that limits the rate at which agents attach. The bucket holds the tokens of a tenth of a
// second, but at least one token. Its methods may be called from any goroutine.
type admission struct {
	rate float64 // agents per second

	mu          sync.Mutex
	tokens      float64
	refilledAt  time.Time
	nextRetryAt time.Time         // when the last of the rejected agents is due to retry
	handshaking map[net.Conn]bool // connections whose handshake is pending
}

func newAdmission(rate float64, now time.Time) *admission {
	return &admission{rate: rate, tokens: max(1, rate/10), refilledAt: now, handshaking: map[net.Conn]bool{}}
}

// admit reports whether an agent may attach now. If not, it returns how long the agent should wait before it retries.
// The waits spread the retries of rejected agents at the admission rate, with jitter of up to half of each wait, and lie
// between minRetryAfter and maxRetryAfter.
func (a *admission) admit(now time.Time) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens, a.refilledAt = min(max(1, a.rate/10), a.tokens+now.Sub(a.refilledAt).Seconds()*a.rate), now
	if a.tokens >= 1 {
		a.tokens--
		return 0, true
	}
	if a.nextRetryAt.Before(now) {
		a.nextRetryAt = now
	}
	a.nextRetryAt = a.nextRetryAt.Add(time.Duration(float64(time.Second) / a.rate))
	retryAfter = minRetryAfter + time.Duration((1+rand.Float64()/2)*float64(a.nextRetryAt.Sub(now)))
	return min(retryAfter, maxRetryAfter), false
}

// trackHandshake adds conn to the connections whose handshake is pending, or removes it if pending is false.
func (a *admission) trackHandshake(conn net.Conn, pending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if delete(a.handshaking, conn); pending {
		a.handshaking[conn] = true
	}
}

// close closes the connections whose handshake is pending.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.handshaking {
		conn.Close()
	}
}
