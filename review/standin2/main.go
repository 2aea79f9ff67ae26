// Command review2 plays one case of the second review: it starts the project's programs with small stand-ins for clients, backends
// and discovery, writes what was sent, answered and run to a file, and exits with 0 if the rule held, 1 if it was broken, and 2 if
// the case could not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds the run of a case.
const maxRun = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r) }()
	select {
	case err = <-done:
	case <-time.After(maxRun):
		err = fmt.Errorf("the case did not end within %v", maxRun)
	case s := <-stopped:
		err = fmt.Errorf("stopped by signal %v", s)
	}
	os.Exit(r.finish(err))
}
