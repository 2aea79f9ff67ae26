package balancer_test

// An example of how an agent drives a Balancer.

import (
	"fmt"
	"time"

	"martenbeam/balancer"
)

// A request fails at its first attempt and succeeds at its retry. The agent owns the clock, the timers and the
// connections.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []balancer.Class{
			{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1,
				Idempotency: balancer.Idempotent},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...balancer.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case balancer.Send: // start the attempt; report its Outcome later
				fmt.Println("send", a.Request)
				backend = a.Backend
			case balancer.SetTimer: // report TimerFired after the delay
				fmt.Println("set a timer")
				timer = a.Token
			case balancer.Refuse:
				fmt.Println("refuse", a.Request)
			case balancer.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(balancer.EndpointUpdate{Kind: balancer.UpdateFull,
		Backends: []balancer.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(balancer.Request{ID: "r1", Class: 0, TimeRemaining: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(balancer.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: balancer.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(balancer.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(balancer.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
