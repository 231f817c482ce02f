package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
)

// Times of every process.
const (
	// tickInterval is how often what is due is looked for.
	tickInterval = 15 * time.Millisecond
	// reportInterval is how often gauges and totals are brought up to date.
	reportInterval = time.Second
	// stopMargin is what is left of the grace time when a process gives up
	// what has not ended.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often a stopping process looks whether it may end.
	stopPoll = 10 * time.Millisecond
	// headerTimeout bounds the wait for the headers of a request.
	headerTimeout = 3 * time.Second
)

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
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
