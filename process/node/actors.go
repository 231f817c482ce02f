package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/intake"
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
	// maxInternalHeaderBytes bounds the head of a request of the load balancer or a target.
	maxInternalHeaderBytes = 16 << 10
	// defaultDescriptors is the limit of file descriptors if the options name no limits.
	defaultDescriptors = 4096
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

// addServer adds an HTTP server with at most maxConns connections to a run group.
func addServer(g *run.Group, in *intake.Intake, name, addr string, maxConns int, handler http.Handler) {
	server := intake.NewServer(handler, nil)
	limits := func() intake.RequestLimits { return intake.RequestLimits{HeaderBytes: maxInternalHeaderBytes} }
	g.Add(func() error {
		return errors.Wrap(in.ListenAndServe(addr, intake.ListenerOptions{MaxConns: maxConns, Limits: limits}, server), name)
	}, func(error) { server.Close() })
}

// limitsOrDefault returns the limits of the options, or default ones.
func limitsOrDefault(limits intake.Limits) intake.Limits {
	if limits == (intake.Limits{}) {
		return intake.DeriveLimits(intake.DefaultMemory, defaultDescriptors)
	}
	return limits
}
