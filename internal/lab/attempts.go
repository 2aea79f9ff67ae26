package lab

// The path of an attempt through the network, to a backend and back.

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
)

// attempt is one attempt of an agent at a backend, as the backend received it.
type attempt struct {
	number        uint64
	id            string
	host          *host
	agent         int
	conn          *backendConn
	arrivedAt     time.Duration // when the kernel received the last byte of the attempt
	reply         chan response
	statedTimeout time.Duration // how long the agent waits for the response, from X-Expires-In; negative without this header
	disconnected  bool          // the connection is closed
	fromLabClient bool          // a client of the lab sent the request
}

type response struct {
	status   int
	neverRan bool
	body     string
}

func (a *attempt) endpoint() netfault.Endpoint {
	return netfault.Endpoint{Role: netfault.Agent, Number: a.agent}
}

func fingerprint(method, uri, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, "\x00", uri, "\x00", key, "\x00"} {
		_, _ = d.WriteString(s) // never returns an error
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// deliver passes an attempt, sent at sentAt, over the emulated network to its backend. Lab.mu is held.
func (l *Lab) deliver(now, sentAt time.Duration, a *attempt, fingerprint uint64, probe bool) {
	h := a.host
	l.attempts[a.number] = a
	newConnection := !a.conn.used
	a.conn.used = true
	if l.network.Fault(a.endpoint(), h.endpoint(), netfault.TCP).Cut || h.machine.State == model.Silent {
		if !probe {
			l.check.Record(now, a.id, "network", fmt.Sprintf("the attempt to %s does not get through", h.machine.ID))
		}
		l.queueUntilReachable(a.endpoint(), h.endpoint(), func(now time.Duration) { l.deliver(now, now, a, fingerprint, probe) })
		return
	}
	if a.disconnected {
		delete(l.attempts, a.number)
		return
	}
	latency := l.network.Arrivals(a.endpoint(), h.endpoint(), netfault.TCP, a.id+"/"+h.machine.ID)[0]
	if newConnection { // the handshake takes another round trip; the job includes the backend's work for the handshake
		latency += 2 * l.baseLatency(a.endpoint(), h.endpoint())
	}
	if probe {
		l.scheduleAt(now+latency, func(now time.Duration) { l.answerProbe(now, a) })
		return
	}
	a.fromLabClient = l.check.Arrive(sentAt, check.Arrival{Attempt: a.number, ID: a.id, Agent: a.agent, Backend: h.machine.ID,
		Cell: h.machine.Cell, Fingerprint: fingerprint, SentAt: a.arrivedAt, StatedTimeout: a.statedTimeout})
	if a.conn.overLimit {
		l.scheduleAt(now+latency, func(now time.Duration) {
			l.reply(now, a, response{http.StatusServiceUnavailable, true, "too many connections"}, "turns the attempt away: too many connections")
		})
		return
	}
	job := l.newJob(now, a, newConnection)
	l.scheduleAt(now+latency, func(now time.Duration) { l.completeJobs(h, h.machine.Arrive(now, job)) })
}

// answerProbe answers a health check and adds the work of the check to the backend's load. Lab.mu is held.
func (l *Lab) answerProbe(now time.Duration, a *attempt) {
	h := a.host
	load := h.machine.Load()
	l.lastAttempt++ // the work has a separate attempt number, since the response does not wait for the work
	l.completeJobs(h, h.machine.Arrive(now, model.Job{Attempt: l.lastAttempt, Work: h.machine.ProbeWork, Agent: a.agent, ErrorDraw: 1}))
	l.reply(now, a, response{status: http.StatusOK, body: fmt.Sprintf("TEXT inflight=%d, util=%.3f, latency_ms=%.3f",
		load.Inflight, load.Util, load.Service.Seconds()*1e3)}, "probed")
}

// newJob returns the work of an attempt. A request whose idempotency key the cell has already seen costs as much as a health
// check. Lab.mu is held.
func (l *Lab) newJob(now time.Duration, a *attempt, newConnection bool) model.Job {
	h := a.host
	random := l.rng.Stream("attempt/" + a.id + "/" + h.machine.ID)
	job := model.Job{Attempt: a.number, Agent: a.agent, ErrorDraw: random.Float64(), NewConnection: newConnection,
		StartKnown: l.check.KnowsStart(a.agent, h.machine.ID, h.machine.StartedAt)}
	req := l.clientRequestOf(a)
	if req == nil {
		job.Work = l.classes[0].work
		return job
	}
	job.Work, job.Key = time.Duration(float64(req.work)*rng.Lognormal(random, 1, 0.3)), req.key
	if l.isDuplicate(now, req, h) { // the request already had its effect: the backend only sends the response
		l.check.Record(now, a.id, h.machine.ID, "its pod has met the key: the repeat is dropped")
		job.Work, job.Key = h.machine.ProbeWork, 0
	}
	return job
}

// cellKey is an idempotency key that the backends of a cell have seen.
type cellKey struct {
	cell int
	key  string
}

// isDuplicate reports whether the backends of a cell have seen a request's idempotency key within the deduplication window.
// If they have not, isDuplicate records the key for the length of the window. Lab.mu is held.
func (l *Lab) isDuplicate(now time.Duration, req *clientRequest, h *host) bool {
	if req.idempotencyKey == "" {
		return false
	}
	key, window := cellKey{h.machine.Cell, req.idempotencyKey}, l.classes[req.class].dedupWindow
	if l.servedKeys[key] {
		return true
	}
	l.servedKeys[key] = true
	l.scheduleAt(now+window, func(time.Duration) { delete(l.servedKeys, key) })
	return false
}

// clientRequestOf returns the client's request behind an attempt, or nil if no client of the lab sent it.
func (l *Lab) clientRequestOf(a *attempt) *clientRequest {
	if !a.fromLabClient {
		return nil
	}
	return l.agents[a.agent].requests[a.id]
}

// completeJobs answers the attempts that a backend has completed. If the backend has crashed by overload, completeJobs also ends
// the backend and publishes its removal. Lab.mu is held.
func (l *Lab) completeJobs(h *host, done []model.Completion) {
	for _, completion := range done {
		a := l.attempts[completion.Attempt]
		if a == nil {
			continue // the work of a health check, or an attempt that already has a response
		}
		what := completion.Result.String()
		if completion.QueuedFor > 0 {
			what += fmt.Sprintf(" after %v in the waiting room", completion.QueuedFor.Round(100*time.Microsecond))
		}
		switch completion.Result {
		case model.Lost, model.Dropped: // the backend sends no response
			l.check.Record(completion.At, a.id, h.machine.ID, what)
			delete(l.attempts, completion.Attempt)
		case model.Rejected:
			l.reply(completion.At, a, response{http.StatusServiceUnavailable, true, "full"}, what)
		case model.Failed:
			l.reply(completion.At, a, response{http.StatusInternalServerError, false, "failed"}, what)
		case model.Served:
			l.reply(completion.At, a, response{http.StatusOK, false, servedBody(a.id, h.machine.ID)}, what)
		}
	}
	if h.machine.State == model.Overloaded && !h.ended {
		h.ended = true
		l.check.Overloaded(h.machine.OverloadedAt, h.machine.ID, h.machine.InformedShare)
		l.overloadedBackends++
		l.endHost(h)
		l.discovery.publish(l.now(), h, "gone", l.Scenario.Discovery.LeaveDelaySeconds)
	}
}

// servedBody returns the body of a backend's successful response to a request.
func servedBody(id, backend string) string { return "served " + id + " by " + backend }

// isServedBody reports whether a body is that of a backend's successful response to a request.
func isServedBody(body, id string) bool { return strings.HasPrefix(body, "served "+id+" by s-") }

// reply sends a backend's response back over the emulated network. Lab.mu is held.
func (l *Lab) reply(now time.Duration, a *attempt, response response, what string) {
	h := a.host
	if l.network.Fault(h.endpoint(), a.endpoint(), netfault.TCP).Cut || h.machine.State == model.Silent {
		l.check.Record(now, a.id, "network", "the answer of "+h.machine.ID+" ("+what+") does not get through")
		l.queueUntilReachable(h.endpoint(), a.endpoint(), func(now time.Duration) { l.reply(now, a, response, what) })
		return
	}
	delete(l.attempts, a.number)
	latency := l.network.Arrivals(h.endpoint(), a.endpoint(), netfault.TCP, a.id+"/"+h.machine.ID)[0]
	l.check.RecordReply(now, a.id, h.machine.ID, what, response.neverRan)
	l.scheduleAt(now+latency, func(time.Duration) {
		select {
		case a.reply <- response:
		default: // a second response would block while Lab.mu is held
			l.fail(fmt.Errorf("the lab answered attempt %d of %s twice", a.number, a.id))
		}
	})
}

// partitionedMessage is a message that its sender retransmits until the partition heals.
type partitionedMessage struct {
	from, to netfault.Endpoint
	send     func(now time.Duration)
}

// queueUntilReachable queues a message until the network changes. Lab.mu is held.
func (l *Lab) queueUntilReachable(from, to netfault.Endpoint, send func(now time.Duration)) {
	l.partitioned = append(l.partitioned, partitionedMessage{from, to, send})
}

// retryPartitioned sends the queued messages again. A message that is still partitioned is queued again. Lab.mu is held.
func (l *Lab) retryPartitioned(now time.Duration) {
	list := l.partitioned
	l.partitioned = nil
	for _, p := range list {
		p.send(now)
	}
}
