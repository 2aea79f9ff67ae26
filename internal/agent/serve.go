package agent

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

// Serve runs the agent that a source describes until SIGTERM.
func Serve(log *slog.Logger, source Source) error {
	// From the first moment to the program's last: unheeded it would end the program with a signal.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more loses its lines, and no more than that
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	cfg, err := listener.Retry(stop, nil, source.Load)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The heap is small: collect seldom, but well before the memory limit kills the process.
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

// Waits after a replaced configuration could not be read, doubled from the first to the most: discovery's new address counts
// 4 s after the signal.
const initialReloadBackoff, maxReloadBackoff = 20 * time.Millisecond, 250 * time.Millisecond

// reloadOnHangup takes over a replaced configuration at each SIGHUP: of what is in it, discovery's address alone may change while the
// program runs. One that can't be read changes nothing, and is read again until it can be: it may still be being written, or
// the system be short of something for a moment.
func reloadOnHangup(a *Agent, log *slog.Logger, source Source, hangups <-chan os.Signal, done <-chan struct{}) {
	var retry <-chan time.Time // nil: the latest signal has been heeded
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
			log.Error("the replaced configuration is not used, it will be read again", "error", err)
		}
		retry = time.After(delays.NextBackOff())
	}
}
