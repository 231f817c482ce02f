package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/azurerouter/azurerouter/connection/intake"
	"github.com/azurerouter/azurerouter/process/agent"
	"github.com/azurerouter/azurerouter/process/entry"
	"github.com/azurerouter/azurerouter/process/observe"
	"github.com/azurerouter/azurerouter/process/settings"
)

func runEntry(args []string, stdout, stderr io.Writer) int {
	flags, code, ok := parseDaemonFlags("entry", args, stdout, stderr)
	if !ok {
		return code
	}
	if flags.onPlatform {
		return runPlatformEntry(flags, stdout, stderr)
	}
	s, err := settings.LoadEntry(flags.settingsPath)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	if s.InstanceMemoryMB > 0 {
		debug.SetMemoryLimit(int64(intake.RuntimeMemoryShare * float64(s.InstanceMemory())))
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := entry.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	return runDaemon("entry", stderr, signalHooks{onSIGHUP: func() {}}, d.AddTo)
}

func runAgent(args []string, stdout, stderr io.Writer) int {
	flags, code, ok := parseDaemonFlags("agent", args, stdout, stderr)
	if !ok {
		return code
	}
	if flags.onPlatform {
		return runPlatformAgent(flags.metricsAddr, stdout, stderr)
	}
	s, err := settings.LoadAgent(flags.settingsPath)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := agent.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	return runDaemon("agent", stderr, signalHooks{onSIGHUP: func() {}}, d.AddTo)
}

// daemonFlags are the flags of a daemon.
type daemonFlags struct {
	settingsPath string
	onPlatform   bool
	metricsAddr  string
	// advertiseAddr is a flag of the entry only.
	advertiseAddr string
}

// parseDaemonFlags parses the flags of a daemon. ok is false if the command must
// exit with code.
func parseDaemonFlags(name string, args []string, stdout, stderr io.Writer) (f daemonFlags, code int, ok bool) {
	flags := newFlags(name)
	flags.StringVar(&f.settingsPath, "settings", "", "`file` with the settings of the process, JSON with comments (required without -platform)")
	flags.BoolVar(&f.onPlatform, "platform", false, "take the settings from the platform and use its protocol")
	flags.StringVar(&f.metricsAddr, "metrics", "", "with -platform, `address` of the metrics and the state dump; empty for none")
	if name == "entry" {
		flags.StringVar(&f.advertiseAddr, "advertise", "", "with -platform, `address` at which other processes reach this entry behind a relay; empty for the address of the entry itself")
	}
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return f, code, false
	}
	if _, _, err := net.SplitHostPort(f.advertiseAddr); f.advertiseAddr != "" && (err != nil || !f.onPlatform) {
		fmt.Fprintf(stderr, "azurerouter %s: -advertise %q, expected address:port and -platform\n", name, f.advertiseAddr)
		return f, exitUsage, false
	}
	if (f.settingsPath == "") != f.onPlatform {
		fmt.Fprintf(stderr, "azurerouter %s: -settings is required, or -platform in its place\n", name)
		return f, exitUsage, false
	}
	return f, exitOK, true
}

// signalHooks are the callbacks of a daemon for signals other than the first stop
// signal.
type signalHooks struct {
	onSIGHUP func()
	// onRepeatedSIGTERM is called on each SIGTERM after the first stop signal. If it
	// is nil, a second SIGTERM ends the process at once.
	onRepeatedSIGTERM func()
}

// errSecondSignal ends a process that receives a second stop signal during shutdown.
var errSecondSignal = errors.New("second signal")

// runDaemon runs the actors until the first of them ends. The first SIGTERM or
// SIGINT starts a graceful shutdown. A second SIGINT ends the process at once, and so
// does a second SIGTERM unless there is a hook for it.
func runDaemon(name string, stderr io.Writer, hooks signalHooks, addTo func(*run.Group, <-chan struct{}) error) int {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	quit := make(chan struct{})
	var g run.Group
	g.Add(func() error { return hooks.handle(signals, stop, quit) }, func(error) { close(quit) })
	if err := addTo(&g, stop); err != nil {
		return fail(stderr, name, err)
	}
	if err := g.Run(); err != nil {
		return fail(stderr, name, err)
	}
	return exitOK
}

// handle receives signals until quit is closed. It closes stop on the first SIGTERM
// or SIGINT.
func (h signalHooks) handle(signals <-chan os.Signal, stop chan<- struct{}, quit <-chan struct{}) error {
	stopping := false
	for {
		select {
		case <-quit:
			return nil
		case s := <-signals:
			switch {
			case s == syscall.SIGHUP:
				h.onSIGHUP()
			case !stopping:
				stopping = true
				close(stop)
			case s == syscall.SIGTERM && h.onRepeatedSIGTERM != nil:
				h.onRepeatedSIGTERM()
			default:
				return errSecondSignal
			}
		}
	}
}
