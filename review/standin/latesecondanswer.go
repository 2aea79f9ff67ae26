package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playLateSecondAnswer: backends send some answers a second time, some milliseconds late. A client must get the answer that a
// backend made for its own request, or none.
func playLateSecondAnswer(f *fleet, trouble bool) (broken bool, err error) {
	const (
		agentCount, backendCount = 5, 10
		workers                  = 4 // of each client application: each sends its next request at the answer to the last one
		requestsPerStop          = 5
		duration                 = 20 * time.Second
		timeout                  = 2 * time.Second
	)
	config := backendConfig{Service: 150 * time.Millisecond}
	if trouble {
		config.RepeatEvery, config.RepeatAfter = 20, 8*time.Millisecond
	}
	backends, err := f.startBackends(backendCount, config)
	if err != nil {
		return false, err
	}
	agents, err := f.startAgents(agentCount, 64, 384, entries(backends))
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	statuses, foreign := map[int]int{}, 0
	var requests sync.WaitGroup
	end := time.Now().Add(duration)
	for _, a := range agents {
		for range workers {
			c := &client{addr: a.addr}
			requests.Go(func() {
				for time.Now().Before(end) {
					stop := randomHex(8)
					for i := range requestsPerStop {
						class := "stop-update"
						if i == 0 {
							class = "route-assign"
						}
						r := c.request(class, stop, timeout, timeout+500*time.Millisecond, "stop")
						f.record.printf("client of %s: %s %s of stop %s answered %d after %v: %q", a.name, class, r.id, stop, r.status, r.answered, r.body)
						mu.Lock()
						statuses[r.status]++
						if r.err == nil && r.status == 200 && !strings.HasPrefix(r.body, "answer-to="+r.id+" ") {
							foreign++
							f.record.printf("FOREIGN: the client of %s sent %s and got %q", a.name, r.id, r.body)
						}
						mu.Unlock()
					}
				}
			})
		}
	}
	requests.Wait()
	if err := firstEnded(agents); err != nil {
		return false, err
	}
	f.record.printf("answers by status: %v; foreign answers: %d", statuses, foreign)
	fmt.Println("answers by status:", statuses, "foreign answers:", foreign)
	return foreign > 0, nil
}
