package model

// The running and queued requests. Running requests are ordered by when they finish.

import "time"

// task is a running or queued job.
type task struct {
	Job
	finishAt  float64 // the value of serviceReceived at which the job is done
	arrivedAt time.Duration
	startedAt time.Duration
	seconds   float64 // of work on one reference core
}

// taskHeap is a heap of running tasks; the first one to finish is at the top.
type taskHeap []*task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].finishAt != h[j].finishAt {
		return h[i].finishAt < h[j].finishAt
	}
	return h[i].Attempt < h[j].Attempt
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(*task)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
