package agent

// The agent as a process: signals and process-wide limits.

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"martenbeam/internal/agent/listener"
)

// Serve runs the agent that source describes until SIGTERM or an interrupt. It sets process-wide limits and signals.
func Serve(log *slog.Logger, source Source) error {
	// From the start to the end of the program: an unhandled SIGHUP would kill it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a broken log pipe costs log lines and nothing else
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	cfg, err := listener.Retry(stop, nil, source.Load)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The heap is small: collect rarely, but well before the memory limit kills the process.
	debug.SetGCPercent(400)
	cfg.LimitMemory()
	a, err := New(stop, cfg, log.With("agent", cfg.Name))
	if err != nil {
		return err
	}
	var reloading sync.WaitGroup
	done := make(chan struct{})
	reloading.Go(func() { reloadOnHangup(a, log, source, hangups, done) })
	defer reloading.Wait()
	defer close(done)
	return a.Run(stop)
}

// initialReloadBackoff and maxReloadBackoff are the backoff after a replaced configuration could not be read, doubled from one to
// the other. Discovery's new address has to be in use 4 s after the signal.
const initialReloadBackoff, maxReloadBackoff = 20 * time.Millisecond, 250 * time.Millisecond

// reloadOnHangup reads the configuration again at each SIGHUP. Only discovery's address may change while the program runs.
// A configuration that can't be read changes nothing, and is read again until it can be: it may still be being written, or
// the system may be short of something for a moment.
func reloadOnHangup(a *Agent, log *slog.Logger, source Source, hangups <-chan os.Signal, done <-chan struct{}) {
	var retry <-chan time.Time // nil: no retry is pending
	delays := backoff.ExponentialBackOff{InitialInterval: initialReloadBackoff, Multiplier: 2, MaxInterval: maxReloadBackoff}
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
			delays.Reset()
		case <-retry:
		case <-done:
			return
		}
		retry = nil
		discovery, err := source.ReloadDiscovery()
		if err == nil {
			a.SetDiscoveryAddr(discovery)
			continue
		}
		if signalled {
			log.Error("configuration reload failed, will retry", "error", err)
		}
		retry = time.After(delays.NextBackOff())
	}
}
