package agent

// Signals and process-wide limits of the agent.

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"martenbeam/internal/agent/listener"
)

// Serve runs the agent that source describes until SIGTERM or an interrupt. It sets process-wide limits and signal handlers.
func Serve(log *slog.Logger, source Source) error {
	// SIGHUP stays handled until the program ends, because an unhandled SIGHUP would kill the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a broken log pipe loses only log lines
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	cfg, err := listener.Retry(stop, nil, source.Load)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	cfg.LimitMemory(collectRarely)
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

// initialReloadBackoff and maxReloadBackoff bound the backoff after a failed reload of the configuration, which doubles with
// each failure. The agent has to use the new address of discovery within 4 s of the signal.
const initialReloadBackoff, maxReloadBackoff = 20 * time.Millisecond, 250 * time.Millisecond

// reloadOnHangup reloads the configuration at each SIGHUP until done is closed. Only the address of discovery may change
// while the program runs. A failed reload changes nothing and is retried until it succeeds: the file may be incomplete while
// it is being written, or the system may be short of resources for a moment.
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
