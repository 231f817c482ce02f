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
	path, code := settingsFlag("entry", args, stdout, stderr)
	if path == "" {
		return code
	}
	s, err := settings.LoadEntry(path)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := entry.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "entry", err)
	}
	return runDaemon("entry", stderr, d.AddTo)
}

func runAgent(args []string, stdout, stderr io.Writer) int {
	path, code := settingsFlag("agent", args, stdout, stderr)
	if path == "" {
		return code
	}
	s, err := settings.LoadAgent(path)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	observer := observe.New(s.Name, stderr)
	defer observer.Close()
	d, err := agent.NewDaemon(s, observer)
	if err != nil {
		return fail(stderr, "agent", err)
	}
	return runDaemon("agent", stderr, d.AddTo)
}

// settingsFlag parses the flags of a daemon. An empty path means that the
// command ends with the code.
func settingsFlag(name string, args []string, stdout, stderr io.Writer) (path string, code int) {
	flags := newFlags(name)
	flags.StringVar(&path, "settings", "", "`file` with the settings of the process, JSON with comments (required)")
	if code, ok := parseFlags(flags, args, 0, stdout, stderr); !ok {
		return "", code
	}
	if path == "" {
		fmt.Fprintf(stderr, "azurerouter %s: -settings is required\n", name)
		return "", exitUsage
	}
	return path, exitOK
}

// runDaemon runs the actors until the first of them ends. The first SIGTERM or
// SIGINT starts a graceful shutdown, the second ends the process at once.
func runDaemon(name string, stderr io.Writer, addTo func(*run.Group, <-chan struct{}) error) int {
	stop := make(chan struct{})
	var once sync.Once
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	quit := make(chan struct{})
	var g run.Group
	g.Add(func() error {
		for count := 0; count < 2; count++ {
			select {
			case <-signals:
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
