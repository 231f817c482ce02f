package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// Intervals and timeouts of every process.
const (
	// tickInterval is the interval between two calls of a core's Tick,
	// idleTickInterval the one of a process that has no job or run.
	tickInterval     = 15 * time.Millisecond
	idleTickInterval = 4 * tickInterval
	// reportInterval is how often gauges and counters are updated.
	reportInterval = time.Second
	// shutdownReserve is the end of the grace period that is reserved for giving
	// up unfinished work and exiting.
	shutdownReserve = 700 * time.Millisecond
	// waitPollInterval is how often a process checks whether it may go on: a
	// stopping process whether its work has ended, an agent whether it may enroll.
	waitPollInterval = 10 * time.Millisecond
	// headerTimeout limits the wait for the headers of a request.
	headerTimeout = 3 * time.Second
)

// runEvery calls f at an interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

// addServer adds an HTTP server to a run group.
func addServer(g *run.Group, name, addr string, handler http.Handler) {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: headerTimeout}
	g.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s on %s", name, addr)
		}
		return nil
	}, func(error) { server.Close() })
}
