package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/standin/logservice"
	"github.com/azurerouter/azurerouter/standin/target"
)

const (
	standinHeaderTimeout = 10 * time.Second
	// standinIdleTimeout is longer than the idle timeouts of the clients, so that the client
	// closes an idle connection first.
	standinIdleTimeout = 2 * time.Minute
	// standinStopTimeout is how long running requests may take after SIGTERM or SIGINT.
	standinStopTimeout = 2 * time.Second
)

// runStandinLog runs the stand-in of the log service until SIGTERM or SIGINT.
func runStandinLog(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("standin log")
	var settings logservice.Settings
	control := &settings.Control
	listen := flags.String("listen", "127.0.0.1:9300", "address to listen on, host:port; port 0 takes a free one")
	retain := flags.Duration("retain", 30*time.Minute, "age beyond which records are trimmed, as a duration; 0 means no limit")
	flags.IntVar(&control.RetainRecords, "retain-records", 0, "number of records kept per stream; 0 means no limit (default 0)")
	flags.Float64Var(&control.AppendDelayMS, "append-delay-ms", 0, "delay of every append, in milliseconds (default 0)")
	flags.Float64Var(&control.SyncMS, "sync-ms", 0, "duration of a synced write, in milliseconds; concurrent appends wait for each other (default 0)")
	flags.Float64Var(&control.AppendsPerSecond, "appends-per-second", 0, "limit of appends over all streams, per second; 0 means no limit (default 0)")
	flags.Uint64Var(&settings.Seed, "seed", 1, "seed of the random choice of lost responses")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	control.RetainMS = float64(*retain) / float64(time.Millisecond)
	return serveStandin("log service", *listen, logservice.New(settings), stdout, stderr)
}

// runStandinTarget runs the stand-in of a target until SIGTERM or SIGINT.
func runStandinTarget(args []string, stdout, stderr io.Writer) int {
	flags := newFlags("standin target")
	listen := flags.String("listen", "127.0.0.1:9400", "address to listen on, host:port; port 0 takes a free one")
	slow := flags.Float64("slow-factor", 1, "factor by which the run time of every task is multiplied, without unit")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return code
	}
	t := target.New()
	t.SetControl(target.Control{SlowFactor: *slow})
	return serveStandin("target", *listen, t, stdout, stderr)
}

func serveStandin(name, listen string, handler http.Handler, stdout, stderr io.Writer) int {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		fmt.Fprintf(stderr, "standin %s: %v\n", name, err)
		return exitFailed
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout, IdleTimeout: standinIdleTimeout}
	fmt.Fprintf(stdout, "standin %s listening on http://%s\n", name, listener.Addr())
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { stopServer(server) })
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		fmt.Fprintf(stderr, "standin %s: %v\n", name, err)
		return exitFailed
	}
	return exitOK
}

// stopServer waits for running requests for at most standinStopTimeout, so that requests
// that hang do not block it.
func stopServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
