package agent

// Serves requests whose bodies are streamed from the client to the backend.

import (
	"net/http"
	"time"

	"martenbeam/internal/agent/upstream"
)

// arrivalCheckInterval is how often the frontend checks whether the end of a body has arrived that the backend does not read.
const arrivalCheckInterval = 50 * time.Millisecond

// serveUpload serves a request whose body is streamed. A goroutine reads the body; it has ended when serveUpload returns.
func (f *frontend) serveUpload(w http.ResponseWriter, httpReq *http.Request, r *request) {
	upload, readerDone := r.upstream.Upload, make(chan struct{})
	go func() {
		defer close(readerDone)
		upload.Pump(&minThroughputReader{source: httpReq.Body, control: http.NewResponseController(w),
			allowance: max(f.maxBodyGap, clientStallTimeout), maxGap: max(f.maxBodyGap, clientStallTimeout),
			received: int64(len(r.upstream.Body))}, f.loop.pool.Buffers)
	}()
	answer := f.awaitUploadReply(httpReq, r)
	f.forgetUnlessExecuted(r, answer)
	f.closeAfterReply(w)
	f.finishUpload(w, upload)
	<-readerDone
	select {
	case <-upload.Failed():
		answer.response.Release()
		failure := bodyError(upload.Err())
		http.Error(w, failure.text, failure.status)
	default:
		f.writeReply(w, httpReq, answer)
	}
}

// finishUpload stops reading a streamed body that is not complete. It also renews the connection's write deadline, because the
// upload may have used most of the time until the old one.
func (f *frontend) finishUpload(w http.ResponseWriter, upload *upstream.Upload) {
	control := http.NewResponseController(w)
	if !upload.IsComplete() {
		w.Header().Set("Connection", "close")   // the rest of the body is not read
		_ = control.SetReadDeadline(time.Now()) // fails only on a broken connection
	}
	upload.Stop(upstream.ErrRequestEnded)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.WriteTimeout))
}

// awaitUploadReply posts a request whose body is streamed to the event loop and waits for the reply. The request's deadline
// counts from the last byte of the body, read or unread. awaitUploadReply returns a failure if the event loop stops first.
func (f *frontend) awaitUploadReply(httpReq *http.Request, r *request) reply {
	f.loop.post(requestArrived{r})
	upload, wait := r.upstream.Upload, uploadWait{frontend: f, request: r, httpReq: httpReq}
	arrivalCheck := time.NewTicker(arrivalCheckInterval)
	defer arrivalCheck.Stop()
	overdueTimer := time.NewTimer(0)
	overdueTimer.Stop() // until there is a deadline
	defer overdueTimer.Stop()
	disconnected, failed, stalled := httpReq.Context().Done(), upload.Failed(), upload.Stalled()
	completed, drainStarted := upload.Completed(), f.drainStarted
	for {
		select {
		case answer := <-r.reply:
			return answer
		case <-completed:
			completed = nil
			wait.bodyArrivedAt(wait.readEnd(), overdueTimer)
		case <-arrivalCheck.C:
			if at, arrived := wait.unreadEnd(); arrived {
				wait.bodyArrivedAt(at, overdueTimer)
			}
		case <-drainStarted:
			drainStarted = nil
			wait.limitToDrain(overdueTimer)
		case <-failed:
			failed = nil
			f.loop.post(clientDisconnected{r})
		case <-disconnected:
			disconnected = nil
			f.loop.post(clientDisconnected{r})
		case <-stalled:
			stalled = nil
			f.loop.post(uploadExpired{r})
		case <-overdueTimer.C:
			wait.overdue()
		case <-f.loop.stopped:
			return reply{}
		}
	}
}

// uploadWait is the state of awaitUploadReply.
type uploadWait struct {
	frontend *frontend
	request  *request
	httpReq  *http.Request
	arrived  bool // the last byte of the body has arrived
}

// unreadEnd reports whether the end of the body has arrived at this machine without being read, because the backend does not
// read, and when. The end of a body of unknown length can't be recognised, so its latest byte counts as the last one if no
// byte has arrived for the request's timeout.
func (u *uploadWait) unreadEnd() (at time.Time, arrived bool) {
	client := clientConnOf(u.httpReq)
	if u.arrived || client == nil || !u.request.upstream.Upload.IsBlocked() {
		return time.Time{}, false
	}
	arrival := client.BodyArrival()
	if arrival.EndKnown {
		return arrival.LatestByteAt, arrival.Complete
	}
	return arrival.LatestByteAt, time.Since(arrival.LatestByteAt) >= u.request.timeout
}

// readEnd returns when the end of a body arrived that has been read. It may have been read late, because the backend reads slowly.
func (u *uploadWait) readEnd() time.Time {
	at := u.request.upstream.Upload.CompletedAt()
	if client := clientConnOf(u.httpReq); client != nil {
		if arrivedAt := client.LastByteAt(); arrivedAt.Before(at) {
			return arrivedAt
		}
	}
	return at
}

// bodyArrivedAt starts the request's deadline. Calls after the first do nothing.
func (u *uploadWait) bodyArrivedAt(at time.Time, overdueTimer *time.Timer) {
	if u.arrived {
		return
	}
	u.arrived = true
	deadline := u.frontend.replyDeadline(at, u.request.timeout)
	if now := time.Now(); deadline.Before(now) {
		deadline = now // the event loop still answers, one step late
	}
	u.frontend.loop.post(bodyComplete{u.request, deadline})
	overdueTimer.Reset(u.frontend.untilOverdue(deadline))
}

// limitToDrain bounds a request whose body has not arrived by the end of the drain.
func (u *uploadWait) limitToDrain(overdueTimer *time.Timer) {
	if end, stopping := u.frontend.drainEnd(); stopping && !u.arrived {
		overdueTimer.Reset(time.Until(end))
	}
}

// overdue handles that the request has no reply although its time is over.
func (u *uploadWait) overdue() {
	if u.arrived {
		u.frontend.loop.post(deadlineExceeded{u.request})
	} else {
		u.frontend.loop.post(uploadExpired{u.request})
	}
}
