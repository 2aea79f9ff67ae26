// Command standin holds the review's stand-ins and plays its cases: it starts the project's agents and its own backends as
// processes, is their discovery and their clients, and judges what the clients and backends saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case. trouble is false for the case without its disruption.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"late-second-answer": playLateSecondAnswer,
	"hung-backend":       playHungBackend,
	"bulk-memory":        playBulkMemory,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "backend" {
		fmt.Fprintln(os.Stderr, backendMain(os.Args[2]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case, writes its record and returns the exit code.
func run(p play, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	record := &recorder{out: out, started: time.Now()}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.close()
		os.Exit(exitNotRun)
	}()
	broken, err := p(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		record.printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.printf("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
