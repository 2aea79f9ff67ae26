package balancer

// Unit tests of the admission queue.

import (
	"slices"
	"testing"
)

// queueOf returns a queue of requests of the given classes, named 0, 1, 2 ...
func queueOf(classes ...int) (*admissionQueue, []*request) {
	q, all := &admissionQueue{}, []*request{}
	for i, class := range classes {
		req := &request{id: string(rune('0' + i)), class: class}
		q.add(req)
		all = append(all, req)
	}
	return q, all
}

func byClass(req *request) float64 { return float64(req.class) }

func TestQueueServesTheHighestValueAndTheNewestFirst(t *testing.T) {
	q, _ := queueOf(0, 2, 1, 2, 0)
	order := ""
	for req := q.next(byClass); req != nil; req = q.next(byClass) {
		if !req.queued {
			t.Errorf("%s is not marked as queued", req.id)
		}
		q.remove(req)
		if req.queued {
			t.Errorf("%s is marked as queued after its removal", req.id)
		}
		order += req.id
	}
	if order != "31240" {
		t.Errorf("served in the order %s, want 31240", order)
	}
}

func TestQueueSkipsUnconstrainedRequestsOfTheClass(t *testing.T) {
	q, all := queueOf(1, 1, 1, 0)
	all[1].residencyRule = 1 // may find a backend where the others found none
	q.skip(all[2])
	if next := q.next(byClass); next != all[1] {
		t.Fatalf("next is %v, want the constrained request", next)
	}
	q.skip(all[1])
	if next := q.next(byClass); next != all[3] {
		t.Fatalf("next is %v, want the request of the other class", next)
	}
	q.skip(all[3])
	if next := q.next(byClass); next != nil {
		t.Fatalf("next is %v after all were skipped, want nil", next)
	}
	visited := ""
	q.visitNewestFirst(func(req *request) {
		visited += req.id
		if req == all[2] {
			q.remove(req)
		}
	})
	if visited != "3210" || !slices.Equal(q.requests, []*request{all[0], all[1], all[3]}) {
		t.Errorf("visited %s, %d requests left, want 3210 and 3", visited, len(q.requests))
	}
	if next := q.next(byClass); next != all[1] {
		t.Errorf("next is %v, want the newest of the higher class: a skip lasts for one step", next)
	}
}
