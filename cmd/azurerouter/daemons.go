package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

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
	if flags.platform {
		return runPlatformEntry(flags.metrics, stdout, stderr)
	}
	s, err := settings.LoadEntry(flags.settings)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := entry.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	return runDaemon("entry", stderr, func() {}, d.AddTo)
}

func runAgent(args []string, stdout, stderr io.Writer) int {
	flags, code, ok := parseDaemonFlags("agent", args, stdout, stderr)
	if !ok {
		return code
	}
	if flags.platform {
		return runPlatformAgent(flags.metrics, stdout, stderr)
	}
	s, err := settings.LoadAgent(flags.settings)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := agent.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	return runDaemon("agent", stderr, func() {}, d.AddTo)
}

// daemonFlags are the flags of a daemon.
type daemonFlags struct {
	settings string
	platform bool
	metrics  string
}

// parseDaemonFlags parses the flags of a daemon. It reports false if the command
// ends with the code.
func parseDaemonFlags(name string, args []string, stdout, stderr io.Writer) (f daemonFlags, code int, ok bool) {
	flags := newFlags(name)
	flags.StringVar(&f.settings, "settings", "", "`file` with the settings of the process, JSON with comments (required without -platform)")
	flags.BoolVar(&f.platform, "platform", false, "take the settings from the platform and speak its protocol")
	flags.StringVar(&f.metrics, "metrics", "", "with -platform, `address` of the metrics and the state dump; empty for none")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return f, code, false
	}
	if (f.settings == "") != f.platform {
		fmt.Fprintf(stderr, "azurerouter %s: -settings is required, or -platform in its place\n", name)
		return f, exitUsage, false
	}
	return f, exitOK, true
}

// runDaemon runs the actors until the first of them ends. The first SIGTERM or
// SIGINT starts a graceful shutdown, the second ends the process at once. SIGHUP
// calls reload.
func runDaemon(name string, stderr io.Writer, reload func(), addTo func(*run.Group, <-chan struct{}) error) int {
	stop := make(chan struct{})
	var once sync.Once
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	quit := make(chan struct{})
	var g run.Group
	g.Add(func() error {
		for count := 0; count < 2; {
			select {
			case <-hangups:
				reload()
			case <-signals:
				count++
				once.Do(func() { close(stop) })
			case <-quit:
				return nil
			}
		}
		return errors.New("second signal")
	}, func(error) { close(quit) })
	if err := addTo(&g, stop); err != nil {
		return fail(stderr, name, err)
	}
	if err := g.Run(); err != nil {
		return fail(stderr, name, err)
	}
	return exitOK
}
