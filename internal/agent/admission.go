package agent

// Reserves the memory of requests before it is allocated.

import (
	"context"
	"net/http"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
)

// memoryWaitShare is the share of a request's time, as a divisor, in which it may wait for memory.
const memoryWaitShare = 4

// ReserveArrival reserves memory for bytes of a request that has not arrived completely. It waits until ctx is done.
func (f *frontend) ReserveArrival(ctx context.Context, bytes int) *membudget.Reservation {
	memory := f.loop.pool.Memory.Reserve(ctx, membudget.Arrival, int64(bytes))
	if memory == nil {
		f.rejections.byClass[membudget.Arrival].Add(1)
		f.loop.memoryRejections.Add(1)
	}
	return memory
}

// ReserveRequest reserves what a request takes. It waits for memory for part of the request's time, but not longer than requestTime,
// so that clients that send again at once do not take it from those that wait. It returns nil if there was none.
func (f *frontend) ReserveRequest(ctx context.Context, head clientconn.Head, requestTime time.Duration) *membudget.Reservation {
	class, bytes := requestMemory(head)
	if class == membudget.Request && f.hasStreamedAnswers(head.Path) {
		class = membudget.Stream
	}
	memory := f.loop.pool.Memory.TryReserve(class, bytes)
	if memory == nil {
		ctx, cancel := context.WithTimeout(ctx, min(f.memoryWait(head), requestTime))
		defer cancel()
		memory = f.loop.pool.Memory.Reserve(ctx, class, bytes)
	}
	if memory == nil {
		f.rejections.byClass[class].Add(1)
		f.loop.memoryRejections.Add(1)
	}
	return memory
}

// memoryWait returns how long a request may wait for memory.
func (f *frontend) memoryWait(head clientconn.Head) time.Duration {
	timeout := f.minDeadline
	if head.Timeout > 0 {
		timeout = min(timeout, head.Timeout)
	}
	return timeout / memoryWaitShare
}

// requestMemory returns what a request takes while it is served, in bytes, with its header and its body, and the class of this
// memory: large requests leave memory for small ones.
func requestMemory(head clientconn.Head) (membudget.Class, int64) {
	header := membudget.HeaderMemory(head.Size, head.Fields)
	bytes := membudget.RequestMemory + header
	switch {
	case head.Chunked && !head.BodyArrived || head.ContentLength > upstream.MaxBufferedBody:
		return membudget.Stream, bytes + upstream.UploadMemory
	case head.ContentLength > clientconn.MaxAwaitedBody:
		return membudget.Buffer, bytes + head.ContentLength
	case header > membudget.RequestMemory:
		return membudget.Buffer, bytes
	}
	return membudget.Request, bytes
}

// reservedMemory returns the reservation of a request, which its holder has to release.
func reservedMemory(httpReq *http.Request) *membudget.Reservation {
	x := exchangeOf(httpReq)
	if x == nil {
		return nil
	}
	x.Memory.Share()
	return x.Memory
}

// heldBack returns how long the last bytes of a request that has arrived may have been held back, because the request waited for memory.
func heldBack(httpReq *http.Request) time.Duration {
	x := exchangeOf(httpReq)
	if x == nil || !x.LastByteAt().After(x.AdmittedAt) {
		return 0
	}
	return x.Waited
}
